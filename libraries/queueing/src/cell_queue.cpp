#include <godwit/queueing/cell_queue.hpp>

#include <algorithm>
#include <utility>

namespace godwit::queueing {

void cell_queue::begin_run(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    usage_.begin(organisation, tokens, now);
}

void cell_queue::end_run(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    usage_.end(organisation, tokens, now);
}

void cell_queue::update_from_neighbour(
    const core::host_name& host, queue_report report, core::time_point now)
{
    std::erase_if(neighbours_, [now](const auto& each) {
        return !each.second.is_fresh(now);
    });
    const bool is_known = neighbours_.find(host) != neighbours_.end();
    if (!is_known && neighbours_.size() >= max_hosts)
        return;
    neighbours_.insert_or_assign(host, received_report{std::move(report), now});
}

void cell_queue::retain_neighbours(const std::set<core::host_name>& hosts)
{
    std::erase_if(neighbours_, [&hosts](const auto& each) {
        return hosts.count(each.first) == 0;
    });
}

queue_order cell_queue::order(
    const std::vector<waiting_request>& own, core::time_point now) const
{
    std::set<core::organisation_name> waiting;
    std::map<core::organisation_name, double> used;
    const auto add = [&used](const std::vector<organisation_work>& all) {
        for (const organisation_work& each : all)
            used[each.organisation] += each.work;
    };
    for (const waiting_request& request : own)
        waiting.insert(request.organisation);
    add(usage_.most_used(queue_report::max_organisations, now));
    for (const auto& [host, received] : neighbours_) {
        if (!received.is_fresh(now))
            continue;
        for (const waiting_request& request : received.report.heads)
            waiting.insert(request.organisation);
        add(received.report.used);
    }
    return queue_order::create(used, waiting, now);
}

bool cell_queue::do_others_wait(core::time_point now) const
{
    return std::any_of(
        neighbours_.begin(), neighbours_.end(), [now](const auto& each) {
            return each.second.is_fresh(now) &&
                   !each.second.report.heads.empty();
        });
}

// The last report before a host becomes idle says that nothing waits there, so
// that no other host leaves a slot to it.
bool cell_queue::is_due(bool waits, core::time_point now) const
{
    if (waits || has_sent_heads_)
        return !sent_at_ || now - *sent_at_ >= report_interval;
    return do_others_wait(now) &&
           (!sent_at_ || now - *sent_at_ >= usage_report_interval);
}

std::optional<queue_report> cell_queue::next_report(
    const std::vector<waiting_request>& own, core::time_point now)
{
    if (!is_due(!own.empty(), now))
        return std::nullopt;
    queue_report report{
        order(own, now).heads(own),
        usage_.most_used(queue_report::max_organisations, now)};
    const bool is_news =
        has_sent_heads_ || !report.heads.empty() || !report.used.empty();
    if (!is_news)
        return std::nullopt;
    has_sent_heads_ = !report.heads.empty();
    sent_at_ = now;
    return report;
}

std::size_t cell_queue::outranking(
    const waiting_request& request,
    const queue_order& order,
    core::time_point now) const
{
    std::size_t count = 0;
    for (const auto& [host, received] : neighbours_) {
        if (!received.is_fresh(now))
            continue;
        for (const waiting_request& other : received.report.heads) {
            const bool goes_first = other.service == request.service &&
                                    order.outranks(other, request);
            count += goes_first ? 1 : 0;
        }
    }
    return count;
}

// Reports are up to 150 ms old. A request that most others would go before
// leaves a slot for two attempts of the most urgent ones, which may have come
// since.
std::size_t cell_queue::unreported(
    const waiting_request& request,
    const queue_order& order,
    core::time_point now) const
{
    constexpr std::size_t likely_unreported = 2;
    if (!do_others_wait(now))
        return 0;
    const bool is_less_urgent = request.priority > 0;
    const bool has_more = order.is_above_share(request.organisation);
    return (is_less_urgent ? likely_unreported : 0) +
           (has_more ? likely_unreported : 0);
}

core::duration cell_queue::delay(
    const waiting_request& request,
    const queue_order& order,
    const placement::server_id& server,
    core::time_point now)
{
    return yields_.delay(
        request.service,
        server,
        outranking(request, order, now) + unreported(request, order, now),
        now);
}

core::duration cell_queue::attempt_interval(
    const waiting_request& request,
    const queue_order& order,
    core::time_point now)
{
    yields_.record_no_slot(request.service);
    return slot_yields::attempt_interval(outranking(request, order, now));
}

std::vector<waiting_head> cell_queue::heads(core::time_point now) const
{
    std::vector<waiting_head> all;
    for (const auto& [host, received] : neighbours_) {
        if (!received.is_fresh(now))
            continue;
        for (const waiting_request& request : received.report.heads)
            all.push_back({host, request});
    }
    return all;
}

} // namespace godwit::queueing
