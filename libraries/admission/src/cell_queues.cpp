#include <godwit/admission/cell_queues.hpp>

#include <utility>

namespace godwit::admission {

void cell_queues::update(
    const core::host_name& host, host_queues queues, core::time_point now)
{
    expire(now);
    if (!reports_.contains(host) && reports_.size() >= max_neighbours)
        return;
    reports_.insert_or_assign(host, report{std::move(queues), now});
}

service_queue
cell_queues::at(const core::service_name& service, core::time_point now) const
{
    service_queue sum;
    for (const auto& [host, each] : reports_) {
        const auto found = each.queues.find(service);
        if (now - each.received_at >= report_lifetime ||
            found == each.queues.end())
            continue;
        for (const auto& [order, more] : found->second)
            sum[order] += more;
    }
    return sum;
}

void cell_queues::expire(core::time_point now)
{
    std::erase_if(reports_, [now](const auto& each) {
        return now - each.second.received_at >= report_lifetime;
    });
}

} // namespace godwit::admission
