#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/rollout/response_counts.hpp>

#include <map>

namespace godwit::rollout {

/// The responses that all hosts counted since an order: this host's own, those
/// of its neighbours, and the sums of groups of hosts further away. Each report
/// has everything since the order, so that a lost one only delays the sums.
class fleet_counts
{
public:
    /// Bounds the memory, since the strata are named by other processes.
    static constexpr std::size_t max_strata = 1000;

    void
    record(const stratum& where, version_side side, const response_counts& one);

    /// Replaces the previous report of a neighbour.
    void update_from_neighbour(
        const core::host_name& host, stratified_counts report);

    /// Replaces the previous report of a group of hosts, of which none is a
    /// neighbour.
    void update_from_group(
        const placement::host_group& group, stratified_counts report);

    [[nodiscard]] const stratified_counts& own() const noexcept { return own_; }

    /// Returns the sums of this host and its neighbours.
    [[nodiscard]] stratified_counts own_and_neighbours() const;

    /// Returns the sums of all hosts.
    [[nodiscard]] stratified_counts total() const;

private:
    stratified_counts own_;
    std::map<core::host_name, stratified_counts> neighbours_;
    std::map<placement::host_group, stratified_counts> groups_;
};

} // namespace godwit::rollout
