#include "dispatch_sweep.hpp"

#include "processor_clock.hpp"
#include "report.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace godwit::capacity {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t engine_memory = 200'000;
constexpr std::uint32_t engine_running = 16;
constexpr std::uint32_t prompt_tokens = 300;
constexpr std::uint32_t most_tokens = 2'000;
constexpr std::size_t organisations = 100;
constexpr std::size_t requests_measured = 4'000;
constexpr std::size_t ticks_measured = 1'000;
constexpr std::size_t token_reports_measured = 4'000;
const core::service_name service("model");
const core::zone_name zone("zone-1");
const core::request_class_name interactive("interactive");

/// One scheduler before engines that are all fresh, and its requests in the
/// order of their starts.
class dispatch_run
{
public:
    explicit dispatch_run(std::size_t servers)
        : scheduler_(dispatch::scheduler::create({zone}).value())
    {
        dispatch::policy policy;
        dispatch::class_policy only_class;
        only_class.name = interactive;
        policy.classes.push_back(only_class);
        dispatch::service_policy only_service;
        only_service.name = service;
        only_service.queue_bound = 2'000;
        policy.services.push_back(only_service);
        handle(dispatch::policy_changed{policy});
        dispatch::servers_changed eligible;
        for (std::size_t each = 0; each < servers; ++each)
            eligible.servers.push_back(
                {core::server_address("10.1.0." + std::to_string(each) + ":80"),
                 zone,
                 service,
                 {engine_memory, engine_running}});
        handle(eligible);
        for (const auto& server : eligible.servers)
            handle(dispatch::load_reported{
                server.address, now_, 0, 0, 0, engine_memory});
    }

    void arrive()
    {
        const std::uint64_t number = arrived_++;
        dispatch::request_arrived request;
        request.id = core::request_id("request-" + std::to_string(number));
        request.organisation = core::organisation_name(
            "organisation-" + std::to_string(number % organisations));
        request.service = service;
        request.class_of_service = interactive;
        request.prompt_tokens = prompt_tokens;
        request.max_tokens = most_tokens;
        request.prefix_hash = number;
        handle(request);
    }

    /// The request that runs longest ends.
    void end_oldest()
    {
        if (running_.empty())
            std::abort();
        const core::request_id oldest = running_.front();
        running_.pop_front();
        handle(dispatch::generation_ended{oldest, dispatch::end_reason::stop});
    }

    /// One token for each of up to `most` running requests.
    std::size_t report_tokens(std::size_t most)
    {
        dispatch::tokens_arrived arrived;
        for (const core::request_id& id : running_) {
            if (arrived.counts.size() == most)
                break;
            arrived.counts.push_back({id, 1});
        }
        handle(arrived);
        return arrived.counts.size();
    }

    void tick() { handle(dispatch::tick{}); }

    [[nodiscard]] std::size_t running() const { return running_.size(); }

    [[nodiscard]] std::size_t queued() const
    {
        return static_cast<std::size_t>(arrived_) - started_ - refused_;
    }

private:
    void handle(const dispatch::event& what)
    {
        now_ += 100us;
        for (const auto& action : scheduler_.handle(what, now_)) {
            if (const auto* start =
                    std::get_if<dispatch::start_request>(&action)) {
                ++started_;
                running_.push_back(start->id);
                newly_started_.push_back(start->id);
            } else if (std::holds_alternative<dispatch::refuse_request>(action))
                ++refused_;
        }
        for (const core::request_id& id : std::exchange(newly_started_, {}))
            handle(dispatch::request_started{id});
    }

    dispatch::scheduler scheduler_;
    core::time_point now_{};
    std::uint64_t arrived_ = 0;
    std::size_t started_ = 0;
    std::size_t refused_ = 0;
    std::deque<core::request_id> running_;
    std::vector<core::request_id> newly_started_;
};

template<class Step>
double cost_of(std::size_t repeats, Step step)
{
    const double begin = processor_microseconds();
    for (std::size_t each = 0; each < repeats; ++each)
        step();
    return (processor_microseconds() - begin) / static_cast<double>(repeats);
}

// A third of the engines' batches stays in use, so that nothing waits.
void sweep_servers()
{
    for (const std::size_t servers : {4, 8, 16, 32, 64}) {
        dispatch_run run(servers);
        while (run.running() < servers * engine_running / 3)
            run.arrive();
        report_point(
            "dispatch_request_us", servers, cost_of(requests_measured, [&run] {
                run.arrive();
                run.end_oldest();
            }));
    }
}

// What a caller's request adds to a full queue, and what looking at the
// queue costs when nothing can start.
void sweep_queue()
{
    constexpr std::size_t servers = 24;
    for (const std::size_t length : {50, 100, 200, 400, 800}) {
        dispatch_run run(servers);
        while (run.queued() < length)
            run.arrive();
        const std::size_t queued = run.queued();
        report_point(
            "dispatch_queue_tick_us", queued, cost_of(ticks_measured, [&run] {
                run.tick();
            }));
        report_point(
            "dispatch_queue_request_us",
            queued,
            cost_of(requests_measured, [&run] {
                run.arrive();
                run.end_oldest();
            }));
    }
}

// The proxy hands all tokens of 20 ms to the scheduler at once.
void sweep_tokens()
{
    constexpr std::size_t servers = 64;
    dispatch_run run(servers);
    while (run.running() < servers * engine_running / 3)
        run.arrive();
    for (const std::size_t batch : {25, 50, 100, 200}) {
        std::size_t tokens = 0;
        const double each = cost_of(token_reports_measured, [&] {
            tokens += run.report_tokens(batch);
        });
        if (tokens != batch * token_reports_measured)
            std::abort();
        report_point("dispatch_token_report_us", batch, each);
    }
}

} // namespace

void run_dispatch_sweep()
{
    sweep_servers();
    sweep_queue();
    sweep_tokens();
}

} // namespace godwit::capacity
