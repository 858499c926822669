#include "simulated_host.hpp"

#include <godwit/admission/make_placement_request.hpp>

#include <algorithm>

namespace godwit::replay {

namespace {

admission::generation_parameters
parameters_of(const generation_request& request)
{
    admission::generation_parameters parameters;
    parameters.prompt_tokens = request.prompt_tokens;
    parameters.max_output_tokens = request.max_output_tokens > 0
                                       ? request.max_output_tokens
                                       : 4 * request.output_tokens;
    if (request.expected_output_tokens > 0)
        parameters.expected_output_tokens = request.expected_output_tokens;
    return parameters;
}

} // namespace

simulated_host::simulated_host(
    core::zone_name zone,
    const routing::service& service,
    std::uint64_t seed,
    bool learns_lengths)
    : zone_(std::move(zone)), service_(service), cold_servers_(seed),
      placer_(
          directory_,
          ledger_,
          health_,
          slow_servers_,
          limits_,
          cold_servers_,
          evacuations_,
          seed),
      learns_lengths_(learns_lengths)
{}

admission::generation_size simulated_host::size_of(
    const generation_request& request,
    std::uint64_t written_tokens,
    core::time_point now) const
{
    std::optional<admission::observed_lengths> observed;
    const auto found = observations_.lengths.find(request.route);
    if (found != observations_.lengths.end())
        observed = found->second.observe(
            written_tokens, observations_.speeds.soon_tokens(now), now);
    return admission::generation_size::create(
        parameters_of(request), written_tokens, observed);
}

void simulated_host::add_server(
    const placement::backend_server& server, core::time_point now)
{
    directory_.update(server, now);
}

void simulated_host::enqueue(
    std::size_t generation,
    const generation_request& request,
    core::time_point now)
{
    const auto policy = admission::wait_policy::create(
        {now,
         now + request.caller_timeout,
         request.latency_objective,
         request.priority,
         observations_.speeds.prefill_tokens_per_ms(now)});
    waiting_.emplace(generation, waiting_generation{request, policy, now});
}

void simulated_host::replace_work(
    running_generation& running, placement::work_size work)
{
    ledger_.remove(running.server, running.work);
    running.work = work;
    ledger_.add(running.server, running.work);
}

void simulated_host::record_progress(
    std::size_t generation, std::uint64_t written_tokens, core::time_point now)
{
    const auto found = running_.find(generation);
    if (found == running_.end())
        return;
    running_generation& running = found->second;
    running.gap_tracker.record_events(1, now);
    observe_progress(running, written_tokens, now);
    placement::work_size work =
        size_of(running.request, written_tokens, now).migrated_work();
    work.gaps = running.gap_tracker.gaps();
    replace_work(running, work);
}

void simulated_host::observe_progress(
    running_generation& running,
    std::uint64_t written_tokens,
    core::time_point now)
{
    if (!learns_lengths_)
        return;
    if (running.written_tokens == 0)
        observations_.speeds.record_first_event(
            running.unread_tokens, now - running.sent_at, now);
    if (const auto gap_ms = running.gap_tracker.gaps().mean_ms())
        observations_.speeds.record_step(
            *gap_ms / service_.engine->tokens_per_event, now);
    observations_.lengths[running.request.route].record_growth(
        running.written_tokens, written_tokens, now);
    running.written_tokens = written_tokens;
}

void simulated_host::record_end(
    std::size_t generation, std::uint64_t output_tokens, core::time_point now)
{
    const auto found = running_.find(generation);
    if (!learns_lengths_ || found == running_.end())
        return;
    const generation_request& request = found->second.request;
    observations_.lengths[request.route].record_end(
        parameters_of(request), output_tokens, now);
}

void simulated_host::detect_slow_servers(core::time_point now)
{
    const auto observed =
        placement::observed_gaps(directory_, ledger_, service_.name, now);
    [[maybe_unused]] const auto changes = slow_servers_.compare(observed, now);
}

void simulated_host::remove(std::size_t generation)
{
    const auto found = running_.find(generation);
    if (found == running_.end())
        return;
    ledger_.remove(found->second.server, found->second.work);
    running_.erase(found);
}

void simulated_host::update_from_neighbour(
    const core::host_name& host,
    const std::vector<placement::server_work>& report,
    core::time_point now)
{
    ledger_.update_from_neighbour(host, report, now);
}

std::vector<std::pair<int, std::size_t>>
simulated_host::wait_order(core::time_point now) const
{
    std::vector<std::pair<int, std::size_t>> ordered;
    ordered.reserve(waiting_.size());
    for (const auto& [generation, waiting] : waiting_)
        ordered.emplace_back(
            waiting.policy.rank(waiting.policy.stage(now)), generation);
    std::sort(ordered.begin(), ordered.end());
    return ordered;
}

bool simulated_host::try_to_place(
    std::size_t generation,
    waiting_generation& waiting,
    core::time_point now,
    const send_function& send)
{
    const auto stage = waiting.policy.stage(now);
    waiting.next_attempt = waiting.policy.next_attempt(stage, now);
    placement::placement_request request = admission::make_placement_request(
        service_, size_of(waiting.request, 0, now), waiting.policy, stage);
    request.preferred_zone = zone_;
    const auto choice = placer_.choose(request, now);
    if (!choice)
        return false;
    if (!send(generation, choice->server.id, request.work.tokens)) {
        health_.record_full(choice->server.id, now);
        return false;
    }
    ledger_.add(choice->server.id, request.work);
    running_.emplace(
        generation,
        running_generation{
            waiting.request,
            choice->server.id,
            request.work,
            {},
            now,
            ledger_.at(choice->server.id, now).unread_tokens});
    return true;
}

void simulated_host::place_waiting(
    core::time_point now, const send_function& send)
{
    for (const auto& [rank, generation] : wait_order(now)) {
        const auto found = waiting_.find(generation);
        if (found->second.next_attempt > now)
            continue;
        if (!try_to_place(generation, found->second, now, send))
            return;
        waiting_.erase(found);
    }
}

std::vector<std::size_t> simulated_host::reject_expired(core::time_point now)
{
    std::vector<std::size_t> expired;
    for (const auto& [generation, waiting] : waiting_) {
        if (waiting.policy.stage(now) == admission::wait_stage::over)
            expired.push_back(generation);
    }
    for (const std::size_t generation : expired)
        waiting_.erase(generation);
    return expired;
}

} // namespace godwit::replay
