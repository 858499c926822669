#pragma once

#include "engine_model.hpp"
#include "entry_policy.hpp"
#include "gap_histogram.hpp"
#include "measurements.hpp"
#include "run_settings.hpp"
#include "simulated_request.hpp"
#include "workload.hpp"

#include <godwit/core/random.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

namespace godwit::bench {

/// One run of a workload on a virtual clock: independent entry hosts, each
/// with a policy of its own, send to the same engines and plain services.
template<entry_policy Policy>
class simulation
{
public:
    using policy_factory = std::function<Policy(std::size_t host)>;

    simulation(
        const workload& workload,
        const run_settings& settings,
        const policy_factory& make_policy);

    [[nodiscard]] measurements run();

private:
    enum class event_kind
    {
        arrival,
        hand_over,
        reach_server,
        step_end,
        call_end,
        sample_load,
        deliver_report,
        deliver_cache,
        host_tick,
        patience,
        engine_lost,
        engine_back,
        servers_noticed,
    };

    struct timed_event
    {
        core::time_point at;
        std::uint64_t order = 0;
        event_kind kind = event_kind::arrival;
        std::size_t subject = 0;
        std::uint64_t number = 0;

        friend bool operator>(const timed_event& left, const timed_event& right)
        {
            return left.at != right.at ? left.at > right.at
                                       : left.order > right.order;
        }
    };

    struct engine
    {
        engine_model model;
        std::size_t zone = 0;
        bool alive = true;
        bool stepping = false;
        std::uint64_t epoch = 0;
        std::uint64_t next_cache_event = 0;
        step_outcome outcome;
    };

    struct plain_service
    {
        std::size_t zone = 0;
        std::uint32_t running = 0;
        std::deque<std::size_t> waiting;
    };

    struct entry_host
    {
        Policy policy;
        std::size_t zone = 0;
        std::vector<std::size_t> active;
        /// Queued or running requests that it owns.
        std::size_t in_hand = 0;
    };

    void schedule(
        core::time_point at,
        event_kind kind,
        std::size_t subject,
        std::uint64_t number = 0);
    void handle(const timed_event& event);
    void tell(std::size_t host, const dispatch::event& event);
    void tell_policy(std::size_t host);
    void tell_servers();
    void act(std::size_t host, const dispatch::start_request& action);
    void act(std::size_t host, const dispatch::refuse_request& action);
    void act(std::size_t host, const dispatch::raise_priority& action);

    void arrive(simulated_request& request);
    void enter(simulated_request& request);
    void reach_server(simulated_request& request);
    void fail_start(simulated_request& request);
    void
    end(simulated_request& request,
        request_stage stage,
        dispatch::end_reason reason);
    void run_out_of_patience(simulated_request& request);
    void catch_up_tokens(simulated_request& request);

    void begin_step(std::size_t index);
    void end_step(std::size_t index);
    void begin_call(std::size_t server, std::size_t request);
    void end_call(std::size_t server, simulated_request& request);
    void lose_engine(std::size_t index);
    void sample_load();
    void deliver_report(std::size_t number);
    void tick_host(std::size_t host);

    [[nodiscard]] std::size_t choose_home(std::size_t host);
    [[nodiscard]] std::size_t home_of(std::size_t index) const;
    [[nodiscard]] bool is_engine(std::size_t server) const;
    [[nodiscard]] std::size_t zone_of(std::size_t server) const;
    [[nodiscard]] core::duration
    latency(std::size_t zone, std::size_t other) const;
    [[nodiscard]] bool is_call(const simulated_request& request) const;
    [[nodiscard]] bool home_hosts() const;
    [[nodiscard]] dispatch::backend_server describe(std::size_t server) const;
    [[nodiscard]] dispatch::request_arrived
    announce(const simulated_request& request) const;

    const workload& workload_;
    run_settings settings_;
    core::random random_;
    core::time_point now_{};
    std::uint64_t next_order_ = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>>
        events_;
    std::vector<simulated_request> requests_;
    std::vector<engine> engines_;
    std::vector<plain_service> services_;
    std::vector<entry_host> hosts_;
    std::vector<std::size_t> home_load_;
    std::vector<dispatch::load_reported> reports_;
    std::vector<dispatch::cache_changed> cache_events_;
    gap_histogram gaps_;
};

} // namespace godwit::bench
