#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/queueing/waiting_request.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace godwit::queueing {

/// The order of waiting requests at one time: by priority; then requests that
/// can start in time, or have aged, before late ones; then by the work that
/// their organisations used relative to an equal share; then aged requests by
/// age; then the earliest latest start.
class queue_order
{
public:
    /// `used` is the work of all organisations, `waiting` those that wait.
    [[nodiscard]] static queue_order create(
        const std::map<core::organisation_name, double>& used,
        const std::set<core::organisation_name>& waiting,
        core::time_point now);

    /// Whether `left` gets capacity before `right`.
    [[nodiscard]] bool goes_before(
        const waiting_request& left, const waiting_request& right) const;

    /// Whether `left` goes first by so much that `right` leaves a free slot to
    /// it at another host.
    [[nodiscard]] bool
    outranks(const waiting_request& left, const waiting_request& right) const;

    /// Returns the most urgent requests of each service, in order, within the
    /// bounds of a report.
    [[nodiscard]] std::vector<waiting_request>
    heads(std::vector<waiting_request> waiting) const;

    /// Returns how much work the organisation used: 0 below an equal share, 1
    /// about as much, and one more for each tenth of a share.
    [[nodiscard]] int
    share_level(const core::organisation_name& organisation) const;

    /// Whether the organisation used more than an equal share.
    [[nodiscard]] bool
    is_above_share(const core::organisation_name& organisation) const;

    friend bool operator==(const queue_order&, const queue_order&) = default;

private:
    queue_order(
        std::map<core::organisation_name, int> levels, core::time_point now)
        : levels_(std::move(levels)), now_(now)
    {}

    std::map<core::organisation_name, int> levels_;
    core::time_point now_;
};

} // namespace godwit::queueing
