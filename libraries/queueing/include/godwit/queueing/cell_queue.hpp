#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/queueing/organisation_usage.hpp>
#include <godwit/queueing/queue_order.hpp>
#include <godwit/queueing/queue_report.hpp>
#include <godwit/queueing/slot_yields.hpp>
#include <godwit/queueing/waiting_head.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit::queueing {

/// The queue of a cell of hosts as one of them knows it: the requests that
/// wait at this host, and what the others reported.
class cell_queue
{
public:
    /// Shortest interval between two reports.
    static constexpr core::duration report_interval =
        std::chrono::milliseconds(100);
    /// Interval between the reports of a host where nothing waits, while
    /// requests wait at others, which need the work that its runs use.
    static constexpr core::duration usage_report_interval =
        std::chrono::milliseconds(400);
    /// How long a report counts: a host that is silent for longer has failed
    /// or cannot be reached.
    static constexpr core::duration report_lifetime = std::chrono::seconds(1);
    /// How many hosts' reports are kept; a cell has at most 32 hosts.
    static constexpr std::size_t max_hosts = 64;

    /// Records that a run of so many tokens began at this host.
    void begin_run(
        const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);
    void end_run(
        const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);

    /// Replaces the previous report of `host`.
    void update_from_neighbour(
        const core::host_name& host, queue_report report, core::time_point now);

    /// Removes the reports of hosts that left the cell.
    void retain_neighbours(const std::set<core::host_name>& hosts);

    /// Returns the order at `now` for these requests of this host and those of
    /// the others.
    [[nodiscard]] queue_order
    order(const std::vector<waiting_request>& own, core::time_point now) const;

    /// Returns the report that is due, if any.
    [[nodiscard]] std::optional<queue_report>
    next_report(const std::vector<waiting_request>& own, core::time_point now);

    /// Returns how many requests of other hosts go before this one at its
    /// service.
    [[nodiscard]] std::size_t outranking(
        const waiting_request& request,
        const queue_order& order,
        core::time_point now) const;

    /// Returns the time until the next attempt of a request that found a free
    /// slot at the server; zero if it may take the slot.
    [[nodiscard]] core::duration delay(
        const waiting_request& request,
        const queue_order& order,
        const placement::server_id& server,
        core::time_point now);

    /// Returns the time until the next attempt of a request that found no free
    /// slot.
    [[nodiscard]] core::duration attempt_interval(
        const waiting_request& request,
        const queue_order& order,
        core::time_point now);

    /// Returns the requests that other hosts reported.
    [[nodiscard]] std::vector<waiting_head> heads(core::time_point now) const;

private:
    struct received_report
    {
        queue_report report;
        core::time_point received_at;

        [[nodiscard]] bool is_fresh(core::time_point now) const
        {
            return now - received_at < report_lifetime;
        }
    };

    /// How many requests of other hosts are presumed to go before this one that
    /// were not reported yet.
    [[nodiscard]] std::size_t unreported(
        const waiting_request& request,
        const queue_order& order,
        core::time_point now) const;
    [[nodiscard]] bool do_others_wait(core::time_point now) const;
    [[nodiscard]] bool is_due(bool waits, core::time_point now) const;

    organisation_usage usage_;
    slot_yields yields_;
    std::map<core::host_name, received_report> neighbours_;
    std::optional<core::time_point> sent_at_;
    bool has_sent_heads_ = false; ///< Whether the last report had any.
};

} // namespace godwit::queueing
