// The part of the scheduler that starts requests and follows them.

#include "scheduler_implementation.hpp"
#include "start_order.hpp"

#include <algorithm>
#include <chrono>

namespace godwit::dispatch {

namespace {

// A prompt token costs an engine about half of what an answer's token does
// (the weights of Sheng et al. 2024).
constexpr double prompt_token_cost = 0.5;

constexpr int highest_priority = 9;
constexpr int highest_fresh_priority = 8;
constexpr std::uint32_t protected_after = 2;

// A server that failed a start gets nothing until its next report is due.
constexpr core::duration avoid_after_failure = std::chrono::milliseconds(500);

int priority_of(const tracked_request& request)
{
    if (request.times_preempted >= protected_after)
        return highest_priority;
    const int base = std::clamp(
        request.owner->queue->limits().priority, 0, highest_fresh_priority);
    return std::min(
        base + static_cast<int>(request.times_preempted), highest_priority);
}

} // namespace

tracked_request* scheduler::implementation::find(const core::request_id& id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

tracked_request*
scheduler::implementation::find_started(const core::request_id& id)
{
    tracked_request* const request = find(id);
    return request != nullptr && request->server != nullptr ? request : nullptr;
}

void scheduler::implementation::take(const tick&)
{
    for (auto& [name, service] : services_) {
        if (service.queued > 0)
            mark_changed(service);
    }
}

void scheduler::implementation::wake_limited()
{
    resume(organisations_.wake(now_));
}

void scheduler::implementation::resume(const std::vector<flow*>& flows)
{
    for (flow* const flow : flows) {
        flow->queue->resume(*flow);
        mark_changed(*flow->waiting.begin()->second->service);
    }
}

void scheduler::implementation::start_what_fits(service_queue& service)
{
    if (service.queued == 0)
        return;
    fade_starts(service, now_);
    while (service.queued > 0 && start_one(service)) {}
}

bool scheduler::implementation::start_one(service_queue& service)
{
    // What an engine pushed off goes before anything fresh.
    for (const auto& [sequence, request] : service.pushed_off) {
        if (try_start(*request))
            return true;
    }
    for (class_queue* const queue : start_order(service)) {
        tracked_request* const request = queue->next(now_);
        if (request != nullptr && try_start(*request))
            return true;
    }
    return false;
}

bool scheduler::implementation::try_start(tracked_request& request)
{
    const auto choice = placement_.choose(*request.service, request, now_);
    if (!choice)
        return false;
    start(request, *choice);
    return true;
}

void scheduler::implementation::start(
    tracked_request& request, const placement_choice& choice)
{
    dequeue(request, true);
    request.server = choice.server;
    class_queue& queue = *request.owner->queue;
    queue.recent_starts += 1.0;
    organisation_account& account = *request.owner->account;
    account.started(request.arrival.kind);
    const double prompt = request.arrival.prompt_tokens;
    queue.charge(*request.owner, prompt * prompt_token_cost);
    server_account& server = *choice.server;
    ++server.own_running;
    request.service->own_running += 1.0;
    server.load.record(now_, 1, request.arrival.prompt_tokens);
    account_memory(request, prompt);
    account_expected(request, request.expected_rest());
    actions_.emplace_back(start_request{
        .id = request.arrival.id,
        .server = server.description.address,
        .priority = priority_of(request),
        .reason = choice.reason,
        .waited = now_ - request.arrived_at});
}

void scheduler::implementation::account_memory(
    const tracked_request& request, double tokens)
{
    class_queue* const queue = request.owner->queue;
    queue->memory_tokens += tokens;
    request.server->class_tokens[queue] += tokens;
}

void scheduler::implementation::account_expected(
    const tracked_request& request, double tokens)
{
    request.server->own_expected += tokens;
    request.service->own_expected += tokens;
    account_memory(request, tokens);
}

void scheduler::implementation::take(const request_started&)
{
    // The start was accounted for when it was asked for.
}

void scheduler::implementation::take(const start_failed& input)
{
    tracked_request* const request = find_started(input.id);
    if (request == nullptr)
        return;
    request->server->avoid_until = now_ + avoid_after_failure;
    end_started(*request);
}

void scheduler::implementation::take(const generation_ended& input)
{
    tracked_request* const request = find_started(input.id);
    if (request == nullptr)
        return;
    if (input.reason == end_reason::stop &&
        request->arrival.kind == request_kind::generation) {
        estimator_.ended(
            request->service->limits.name,
            request->owner->queue->limits().name,
            request->tokens);
    }
    end_started(*request);
}

void scheduler::implementation::end_started(tracked_request& request)
{
    server_account& server = *request.server;
    const std::int64_t held = static_cast<std::int64_t>(request.tokens) +
                              request.arrival.prompt_tokens;
    account_expected(request, -static_cast<double>(request.expected_rest()));
    account_memory(request, -static_cast<double>(held));
    server.load.record(now_, -1, -held);
    if (request.pushed_off)
        --server.own_pushed_off;
    --server.own_running;
    request.service->own_running -= 1.0;
    mark_changed(*request.service);
    resume(organisations_.ended(*request.owner->account, request.arrival.kind));
    request.owner->queue->release(*request.owner, now_);
    if (!server.eligible && server.own_running == 0)
        servers_.erase(core::server_address(server.description.address));
    requests_.erase(core::request_id(request.arrival.id));
}

void scheduler::implementation::take(const tokens_arrived& input)
{
    for (const token_count& count : input.counts) {
        tracked_request* const request = find_started(count.id);
        if (request != nullptr && count.tokens > 0)
            receive(*request, count.tokens);
    }
}

void scheduler::implementation::receive(
    tracked_request& request, std::uint32_t tokens)
{
    server_account& server = *request.server;
    if (request.pushed_off) {
        request.pushed_off = false;
        --server.own_pushed_off;
        mark_changed(*request.service);
    }
    const double rest_before = request.expected_rest();
    const std::uint32_t had = request.tokens;
    request.tokens += tokens;
    if (request.tokens >= request.estimate_until) {
        estimator_.progressed(
            request.service->limits.name,
            request.owner->queue->limits().name,
            had,
            request.tokens);
        estimate(request);
    }
    server.load.record(now_, 0, tokens);
    account_memory(request, tokens);
    account_expected(request, request.expected_rest() - rest_before);
    request.owner->queue->charge(*request.owner, tokens);
    request.owner->account->charge(tokens, now_);
}

void scheduler::implementation::estimate(tracked_request& request)
{
    if (request.arrival.kind == request_kind::call)
        return;
    const std::uint32_t limit =
        std::max(request.arrival.max_tokens, request.tokens);
    const auto rest = estimator_.remaining(
        request.service->limits.name,
        request.owner->queue->limits().name,
        request.tokens,
        settings_.length_quantile);
    // Nothing that long was seen yet: it may double, and the engine ends it
    // at its limit.
    const std::uint32_t guess =
        request.tokens > 0 ? request.tokens : request.arrival.max_tokens;
    request.expected_length =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(
            limit, std::uint64_t{request.tokens} + rest.value_or(guess)));
    request.estimate_until = length_histogram::lower_edge(
        length_histogram::bucket_of(request.tokens) + 1);
}

void scheduler::implementation::take(const generation_preempted& input)
{
    tracked_request* const request = find_started(input.id);
    if (request == nullptr)
        return;
    // The engine counts, so a late or doubled event is told from a new one.
    const std::uint32_t times = request->arrival.times_preempted + input.count;
    if (times <= request->times_preempted)
        return;
    request->times_preempted = times;
    if (!request->pushed_off) {
        request->pushed_off = true;
        ++request->server->own_pushed_off;
    }
    actions_.emplace_back(raise_priority{
        .id = request->arrival.id,
        .server = request->server->description.address,
        .priority = priority_of(*request)});
}

} // namespace godwit::dispatch
