#include <godwit/rollout/fleet_counts.hpp>

#include <utility>

namespace godwit::rollout {

namespace {

void add(stratified_counts& sums, const stratified_counts& report)
{
    for (const auto& [where, counts] : report) {
        version_counts& sum = sums[where];
        sum.former += counts.former;
        sum.target += counts.target;
    }
}

} // namespace

void fleet_counts::record(
    const stratum& where, version_side side, const response_counts& one)
{
    if (own_.size() < max_strata || own_.contains(where))
        own_[where].of(side) += one;
}

void fleet_counts::update_from_neighbour(
    const core::host_name& host, stratified_counts report)
{
    if (report.size() <= max_strata)
        neighbours_[host] = std::move(report);
}

void fleet_counts::update_from_group(
    const placement::host_group& group, stratified_counts report)
{
    if (report.size() <= max_strata)
        groups_[group] = std::move(report);
}

stratified_counts fleet_counts::own_and_neighbours() const
{
    stratified_counts sums = own_;
    for (const auto& [host, report] : neighbours_)
        add(sums, report);
    return sums;
}

stratified_counts fleet_counts::total() const
{
    stratified_counts sums = own_and_neighbours();
    for (const auto& [group, report] : groups_)
        add(sums, report);
    return sums;
}

} // namespace godwit::rollout
