// The part of the scheduler that deals with requests which wait.

#include "scheduler_implementation.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::dispatch {

namespace {

constexpr core::duration shortest_retry = std::chrono::seconds(1);
constexpr core::duration longest_retry = std::chrono::seconds(120);

core::duration clamp_retry(core::duration value)
{
    return std::clamp(value, shortest_retry, longest_retry);
}

// A full queue has room again after one start, but for one only; all who
// were refused meanwhile come back, so they are told when half is free.
core::duration time_to_halve(const class_queue& queue)
{
    const auto rate = queue.drain_rate();
    if (!rate || *rate <= 0.0)
        return shortest_retry;
    const std::chrono::duration<double> wait(
        static_cast<double>(queue.size()) / 2.0 / *rate);
    return std::chrono::ceil<core::duration>(
        std::min(wait, std::chrono::duration<double>(longest_retry)));
}

} // namespace

void scheduler::implementation::take(const request_arrived& input)
{
    if (requests_.contains(input.id))
        return;
    auto request = std::make_unique<tracked_request>();
    request->arrival = input;
    request->arrived_at = now_;
    request->sequence = next_sequence_++;
    request->times_preempted = input.times_preempted;
    request->service = known_service(input.service);
    tracked_request& added = *request;
    requests_.emplace(input.id, std::move(request));
    if (added.service == nullptr || added.service->servers.empty()) {
        refuse(added, refusal_reason::no_backend_server, shortest_retry);
        return;
    }
    enqueue(added);
    if (refused_at_arrival(added))
        return;
    estimate(added);
    mark_changed(*added.service);
}

void scheduler::implementation::enqueue(tracked_request& request)
{
    organisation_account& account =
        organisations_.account_of(request.arrival.organisation, now_);
    class_queue& queue =
        class_of(*request.service, request.arrival.class_of_service);
    request.owner = &queue.flow_of(account);
    queue.push(request, now_);
    ++request.service->queued;
    if (request.times_preempted > 0)
        request.service->pushed_off.emplace(request.sequence, &request);
    request.start_by = request.arrival.deadline;
    if (const auto longest = queue.limits().longest_wait)
        request.start_by = std::min(request.start_by, now_ + *longest);
    if (request.start_by != core::time_point::max()) {
        deadlines_.emplace(
            std::pair(request.start_by, request.sequence), &request);
    }
}

void scheduler::implementation::dequeue(tracked_request& request, bool started)
{
    deadlines_.erase({request.start_by, request.sequence});
    request.service->pushed_off.erase(request.sequence);
    --request.service->queued;
    request.owner->queue->remove(request, now_, started);
}

bool scheduler::implementation::refused_at_arrival(tracked_request& request)
{
    const class_queue& queue = *request.owner->queue;
    if (request.service->queued > request.service->limits.queue_bound) {
        const core::duration retry_after = time_to_halve(queue);
        dequeue(request, false);
        refuse(request, refusal_reason::queue_full, retry_after);
        return true;
    }
    const auto wait = queue.expected_wait(*request.owner);
    const core::duration allowed =
        std::max(request.start_by - now_, core::duration::zero());
    if (!wait || *wait <= allowed)
        return false;
    dequeue(request, false);
    // Half of the allowed wait is left as a margin for the estimate.
    refuse(request, refusal_reason::deadline, *wait - allowed / 2);
    return true;
}

void scheduler::implementation::refuse(
    tracked_request& request, refusal_reason reason, core::duration retry_after)
{
    actions_.emplace_back(refuse_request{
        .id = request.arrival.id,
        .reason = reason,
        .retry_after = clamp_retry(retry_after)});
    requests_.erase(core::request_id(request.arrival.id));
}

void scheduler::implementation::refuse_all(service_queue& service)
{
    std::vector<tracked_request*> queued;
    for (const auto& [id, request] : requests_) {
        if (request->service == &service && request->server == nullptr)
            queued.push_back(request.get());
    }
    // The order must not depend on that of a hash table.
    std::sort(
        queued.begin(),
        queued.end(),
        [](const tracked_request* left, const tracked_request* right) {
            return left->sequence < right->sequence;
        });
    for (tracked_request* const request : queued) {
        dequeue(*request, false);
        refuse(*request, refusal_reason::no_backend_server, shortest_retry);
    }
}

void scheduler::implementation::refuse_expired()
{
    while (!deadlines_.empty() && deadlines_.begin()->first.first <= now_) {
        tracked_request& request = *deadlines_.begin()->second;
        const core::duration retry_after = time_to_halve(*request.owner->queue);
        dequeue(request, false);
        refuse(request, refusal_reason::deadline, retry_after);
    }
}

void scheduler::implementation::take(const request_left& input)
{
    tracked_request* const request = find(input.id);
    if (request == nullptr || request->server != nullptr)
        return;
    dequeue(*request, false);
    requests_.erase(input.id);
}

} // namespace godwit::dispatch
