#include <godwit/entry/cell_load_reporter.hpp>

#include <godwit/entry/load_conversion.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace {

using placement::work_size;

bool is_changed(const work_size& reported, const work_size& now)
{
    const std::uint64_t growth = reported.tokens < now.tokens
                                     ? now.tokens - reported.tokens
                                     : reported.tokens - now.tokens;
    return reported.requests != now.requests ||
           reported.unread_tokens != now.unread_tokens ||
           reported.arriving_tokens != now.arriving_tokens ||
           placement::differ_significantly(reported.gaps, now.gaps) ||
           growth >= cell_load_reporter::min_reported_growth;
}

} // namespace

core::duration cell_load_reporter::report_interval(std::size_t cells) noexcept
{
    const std::size_t others = std::max<std::size_t>(cells, 1) - 1;
    const auto interval = min_report_interval *
                          std::max(others, fast_reported_cells) /
                          fast_reported_cells;
    return std::min<core::duration>(interval, max_report_interval);
}

std::optional<wire::cell_work> cell_load_reporter::next(
    const placement::host_group& cell,
    const std::vector<placement::server_work>& sums,
    core::time_point now)
{
    // If this host moved to another cell, no sums of that cell were reported
    // yet.
    if (cell != cell_)
        reported_.clear();
    cell_ = cell;
    wire::cell_work report;
    report.cell = cell.value();
    report.is_whole =
        reported_.empty() || now - full_report_at_ >= full_report_interval;
    std::map<placement::server_id, work_size> kept;
    for (const auto& [server, work] : sums) {
        const auto before = reported_.find(server);
        const bool is_reported = report.is_whole || before == reported_.end() ||
                                 is_changed(before->second, work);
        kept.emplace(server, is_reported ? work : before->second);
        if (is_reported)
            report.work.push_back(to_wire(server, work));
        if (before != reported_.end())
            reported_.erase(before);
    }
    // The remaining servers have no load any more.
    if (!report.is_whole) {
        for (const auto& [server, work] : reported_)
            report.work.push_back(to_wire(server, work_size()));
    }
    reported_ = std::move(kept);
    if (report.is_whole)
        full_report_at_ = now;
    if (report.work.empty() && reported_.empty() && was_empty_)
        return std::nullopt;
    was_empty_ = reported_.empty();
    const bool is_unchanged = report.work.empty() && !report.is_whole;
    if (is_unchanged && last_report_at_ &&
        now - *last_report_at_ < max_report_interval)
        return std::nullopt;
    last_report_at_ = now;
    return report;
}

std::optional<wire::cell_work>
cell_load_reporter::full(const placement::host_group& cell) const
{
    if (!last_report_at_ || cell != cell_)
        return std::nullopt;
    wire::cell_work report;
    report.cell = cell.value();
    report.is_whole = true;
    for (const auto& [server, work] : reported_)
        report.work.push_back(to_wire(server, work));
    return report;
}

} // namespace godwit::entry
