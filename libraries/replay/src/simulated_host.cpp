#include "simulated_host.hpp"

#include <godwit/admission/make_placement_request.hpp>

#include <algorithm>

namespace godwit::replay {

namespace {

admission::generation_size
size_of(const generation_request& order, std::uint64_t written_tokens)
{
    return admission::generation_size::create(
        {order.prompt_tokens, 4 * order.output_tokens, order.expected_tokens},
        written_tokens);
}

} // namespace

simulated_host::simulated_host(
    core::zone_name zone, const routing::service& service, std::uint64_t seed)
    : zone_(std::move(zone)), service_(service),
      placer_(directory_, ledger_, health_, paces_, limits_, seed)
{}

void simulated_host::server_joins(
    const placement::backend_server& server, core::time_point now)
{
    directory_.listed(server, now);
}

void simulated_host::arrives(
    std::size_t generation,
    const generation_request& order,
    core::time_point now)
{
    const auto plan = admission::wait_policy::create(
        {now, now + order.patience, order.objective, order.priority});
    waiting_.emplace(generation, waiting_generation{order, plan, now});
}

void simulated_host::replace_work(
    running_generation& running, placement::work_size work)
{
    ledger_.remove(running.server, running.work);
    running.work = work;
    ledger_.add(running.server, running.work);
}

void simulated_host::wrote(
    std::size_t generation, std::uint64_t written_tokens, core::time_point now)
{
    const auto found = running_.find(generation);
    if (found == running_.end())
        return;
    running_generation& running = found->second;
    running.rhythm.record_events(1, now);
    placement::work_size work =
        size_of(running.order, written_tokens).migrated_work();
    work.gaps = running.rhythm.gaps();
    replace_work(running, work);
}

void simulated_host::compare_paces(core::time_point now)
{
    const auto seen =
        placement::observed_gaps(directory_, ledger_, service_.name, now);
    [[maybe_unused]] const auto changes = paces_.compare(seen, now);
}

void simulated_host::ended(std::size_t generation)
{
    const auto found = running_.find(generation);
    if (found == running_.end())
        return;
    ledger_.remove(found->second.server, found->second.work);
    running_.erase(found);
}

void simulated_host::update_from_neighbour(
    const core::host_name& host,
    const std::vector<placement::server_work>& word,
    core::time_point now)
{
    ledger_.update_from_neighbour(host, word, now);
}

std::vector<std::pair<int, std::size_t>>
simulated_host::line(core::time_point now) const
{
    std::vector<std::pair<int, std::size_t>> ordered;
    ordered.reserve(waiting_.size());
    for (const auto& [generation, waiting] : waiting_)
        ordered.emplace_back(
            waiting.plan.rank(waiting.plan.stage(now)), generation);
    std::sort(ordered.begin(), ordered.end());
    return ordered;
}

bool simulated_host::try_to_place(
    std::size_t generation,
    waiting_generation& waiting,
    core::time_point now,
    const send_function& send)
{
    const auto stage = waiting.plan.stage(now);
    waiting.next_attempt = waiting.plan.next_attempt(stage, now);
    placement::placement_request wanted = admission::make_placement_request(
        service_, size_of(waiting.order, 0), waiting.plan, stage);
    wanted.preferred_zone = zone_;
    const auto choice = placer_.choose(wanted, now);
    if (!choice)
        return false;
    if (!send(generation, choice->server.id, wanted.work.tokens)) {
        health_.record_full(choice->server.id, now);
        return false;
    }
    ledger_.add(choice->server.id, wanted.work);
    running_.emplace(
        generation,
        running_generation{waiting.order, choice->server.id, wanted.work, {}});
    return true;
}

void simulated_host::look_for_room(
    core::time_point now, const send_function& send)
{
    for (const auto& [rank, generation] : line(now)) {
        const auto found = waiting_.find(generation);
        if (found->second.next_attempt > now)
            continue;
        if (!try_to_place(generation, found->second, now, send))
            return;
        waiting_.erase(found);
    }
}

std::vector<std::size_t> simulated_host::turn_away(core::time_point now)
{
    std::vector<std::size_t> over;
    for (const auto& [generation, waiting] : waiting_) {
        if (waiting.plan.stage(now) == admission::wait_stage::over)
            over.push_back(generation);
    }
    for (const std::size_t generation : over)
        waiting_.erase(generation);
    return over;
}

} // namespace godwit::replay
