#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/placement/event_gap_tracker.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_health.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/placement/slow_server_detector.hpp>
#include <godwit/replay/generation_request.hpp>
#include <godwit/routing/service.hpp>

#include "host_observations.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace godwit::replay {

/// An entry host without network connections: its queue of waiting requests,
/// its view of the engines, and the decisions of the real libraries.
class simulated_host
{
public:
    /// Sends the generation to the server; false if it has no capacity.
    using send_function = std::function<bool(
        std::size_t generation,
        const placement::server_id& server,
        std::uint64_t tokens)>;

    simulated_host(
        core::zone_name zone,
        const routing::service& service,
        std::uint64_t seed,
        bool learns_lengths);

    simulated_host(const simulated_host&) = delete;
    simulated_host& operator=(const simulated_host&) = delete;

    void
    add_server(const placement::backend_server& server, core::time_point now);

    void enqueue(
        std::size_t generation,
        const generation_request& request,
        core::time_point now);

    /// Records an event after the prompt is prefilled, with the number of
    /// tokens written so far.
    void record_progress(
        std::size_t generation,
        std::uint64_t written_tokens,
        core::time_point now);

    /// Records that a generation ended by itself at this length.
    void record_end(
        std::size_t generation,
        std::uint64_t output_tokens,
        core::time_point now);

    void remove(std::size_t generation);

    void update_from_neighbour(
        const core::host_name& host,
        const std::vector<placement::server_work>& report,
        core::time_point now);

    /// Tries to place waiting requests, in the order of the queue.
    void place_waiting(core::time_point now, const send_function& send);

    /// Removes requests that waited too long from the queue and returns them.
    [[nodiscard]] std::vector<std::size_t> reject_expired(core::time_point now);

    /// Compares the speed of the engines.
    void detect_slow_servers(core::time_point now);

    [[nodiscard]] std::vector<placement::server_work> own_work() const
    {
        return ledger_.own();
    }

    [[nodiscard]] host_observations& observations() { return observations_; }

private:
    struct waiting_generation
    {
        generation_request request;
        admission::wait_policy policy;
        core::time_point next_attempt;
    };

    struct running_generation
    {
        generation_request request;
        placement::server_id server;
        placement::work_size work;
        placement::event_gap_tracker gap_tracker;
        core::time_point sent_at;
        std::uint64_t unread_tokens = 0; ///< At the engine when it was sent.
        std::uint64_t written_tokens = 0;
    };

    [[nodiscard]] std::vector<std::pair<int, std::size_t>>
    wait_order(core::time_point now) const;
    [[nodiscard]] bool try_to_place(
        std::size_t generation,
        waiting_generation& waiting,
        core::time_point now,
        const send_function& send);
    [[nodiscard]] admission::generation_size size_of(
        const generation_request& request,
        std::uint64_t written_tokens,
        core::time_point now) const;
    void observe_progress(
        running_generation& running,
        std::uint64_t written_tokens,
        core::time_point now);
    void replace_work(running_generation& running, placement::work_size work);

    core::zone_name zone_;
    const routing::service& service_;
    placement::server_directory directory_;
    placement::load_ledger ledger_;
    placement::server_health health_;
    placement::slow_server_detector slow_servers_;
    placement::server_limits limits_;
    placement::cold_servers cold_servers_;
    placement::zone_evacuations evacuations_;
    placement::placer placer_;
    const bool learns_lengths_;
    host_observations observations_;
    std::map<std::size_t, waiting_generation> waiting_;
    std::map<std::size_t, running_generation> running_;
};

} // namespace godwit::replay
