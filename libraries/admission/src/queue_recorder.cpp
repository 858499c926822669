#include <godwit/admission/queue_recorder.hpp>

namespace godwit::admission {

// Returns null beyond the bounds: such work is not counted.
queue_recorder::recorded*
queue_recorder::find_or_add(const core::service_name& service, int order)
{
    const auto known = services_.find(service);
    if (known == services_.end() && services_.size() >= max_queue_services)
        return nullptr;
    auto& orders = services_[service];
    if (!orders.contains(order) && orders.size() >= max_queue_orders)
        return nullptr;
    return &orders[order];
}

void queue_recorder::record_arrival(
    const core::service_name& service,
    int order,
    const work_amount& work,
    core::time_point now)
{
    if (recorded* found = find_or_add(service, order))
        found->arrived.add(work, now);
}

void queue_recorder::record_start(
    const core::service_name& service,
    int order,
    const work_amount& work,
    core::time_point now)
{
    if (recorded* found = find_or_add(service, order))
        found->started.add(work, now);
}

void queue_recorder::add_waiting(
    const core::service_name& service, int order, const work_amount& work)
{
    if (recorded* found = find_or_add(service, order))
        found->waiting += work;
}

void queue_recorder::remove_waiting(
    const core::service_name& service, int order, const work_amount& work)
{
    if (recorded* found = find_or_add(service, order))
        found->waiting -= work;
}

host_queues queue_recorder::sums(core::time_point now) const
{
    host_queues sums;
    for (const auto& [service, orders] : services_) {
        service_queue queue;
        for (const auto& [order, each] : orders) {
            const order_sum sum{
                each.waiting, each.arrived.sum(now), each.started.sum(now)};
            if (sum != order_sum())
                queue.emplace(order, sum);
        }
        if (!queue.empty())
            sums.emplace(service, std::move(queue));
    }
    return sums;
}

void queue_recorder::expire(core::time_point now)
{
    for (auto& [service, orders] : services_)
        std::erase_if(orders, [now](const auto& each) {
            const recorded& known = each.second;
            return known.waiting == work_amount() &&
                   known.arrived.sum(now) == work_amount() &&
                   known.started.sum(now) == work_amount();
        });
    std::erase_if(
        services_, [](const auto& each) { return each.second.empty(); });
}

} // namespace godwit::admission
