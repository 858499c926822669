#include <godwit/entry/queue_sums_conversion.hpp>

#include <godwit/admission/announced_retries.hpp>
#include <godwit/admission/queue_order.hpp>
#include <godwit/admission/start_predictor.hpp>
#include <godwit/entry/wire_age.hpp>

#include <chrono>
#include <map>
#include <utility>

namespace godwit::entry {

namespace {

// More than a host has memory for; sums over a cell of such reports do not
// overflow.
constexpr std::uint64_t max_requests = 1'000'000;
constexpr std::uint64_t max_tokens = 100'000'000'000;
constexpr std::size_t fingerprint_digits = 32;

wire::queued_work to_wire(const admission::work_amount& work)
{
    return {work.requests, work.tokens};
}

admission::work_amount from_wire(const wire::queued_work& work)
{
    return {work.requests, work.tokens};
}

bool is_valid(const wire::queued_work& work)
{
    return work.requests <= max_requests && work.tokens <= max_tokens;
}

bool is_valid(const wire::queue_order_sum& sum)
{
    return admission::is_valid_order(sum.order) && is_valid(sum.waiting) &&
           is_valid(sum.arrived) && is_valid(sum.started);
}

bool is_valid(const wire::announced_retry& retry)
{
    return retry.fingerprint.size() == fingerprint_digits &&
           admission::is_valid_order(retry.order) &&
           retry.tokens <= max_tokens &&
           std::chrono::milliseconds(retry.due_ms) <=
               admission::start_predictor::max_retry_after;
}

void add_orders(
    const wire::queue_sum& sum,
    admission::service_queue& queue,
    std::size_t& invalid)
{
    for (const wire::queue_order_sum& each : sum.orders) {
        const bool is_counted = is_valid(each) && !queue.contains(each.order) &&
                                queue.size() < admission::max_queue_orders;
        if (!is_counted) {
            ++invalid;
            continue;
        }
        queue.emplace(
            each.order,
            admission::order_sum{
                from_wire(each.waiting),
                from_wire(each.arrived),
                from_wire(each.started)});
    }
}

} // namespace

wire::queue_sums to_wire(
    const admission::host_queues& queues,
    const std::vector<admission::announced_retry>& retries,
    core::time_point now)
{
    std::map<core::service_name, wire::queue_sum> sums;
    for (const auto& [service, queue] : queues) {
        for (const auto& [order, each] : queue)
            sums[service].orders.push_back(
                {order,
                 to_wire(each.waiting),
                 to_wire(each.arrived),
                 to_wire(each.started)});
    }
    for (const admission::announced_retry& each : retries)
        sums[each.service].retries.push_back(
            {each.request.value(),
             each.order,
             each.tokens,
             wire_age_ms(each.due - now)});
    wire::queue_sums message;
    for (auto& [service, sum] : sums) {
        sum.service = service;
        message.sums.push_back(std::move(sum));
    }
    return message;
}

received_queue_sums
from_wire(const wire::queue_sums& message, core::time_point now)
{
    received_queue_sums received;
    for (const wire::queue_sum& sum : message.sums) {
        const bool is_counted =
            !received.queues.contains(sum.service) &&
            received.queues.size() < admission::max_queue_services;
        if (!is_counted) {
            ++received.invalid;
            continue;
        }
        add_orders(sum, received.queues[sum.service], received.invalid);
        for (const wire::announced_retry& retry : sum.retries) {
            if (!is_valid(retry) ||
                received.retries.size() >=
                    admission::announced_retries::max_retries) {
                ++received.invalid;
                continue;
            }
            received.retries.push_back(
                {admission::request_fingerprint(retry.fingerprint),
                 sum.service,
                 retry.order,
                 retry.tokens,
                 now + std::chrono::milliseconds(retry.due_ms)});
        }
    }
    return received;
}

} // namespace godwit::entry
