#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/wire/cell_work.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace godwit::entry {

/// Composes the messages in which a host reports the load of its own cell to
/// other cells: the load at each server, summed over the cell's hosts.
class cell_load_reporter
{
public:
    /// Shortest interval between two reports. It is short compared with the
    /// prefill of a prompt, some 400 ms, because outdated loads lead to a poor
    /// choice of engine.
    static constexpr core::duration min_report_interval =
        std::chrono::milliseconds(100);
    /// Number of other cells to which a host reports at that interval. Beyond,
    /// the interval grows with the number of cells, so that what a host sends
    /// and receives does not.
    static constexpr std::size_t fast_reported_cells = 8;

    /// Returns the interval between two reports in a fleet of so many cells.
    [[nodiscard]] static core::duration
    report_interval(std::size_t cells) noexcept;

    /// Interval between two full reports. A new link begins with a full report
    /// and loses no later one; the periodic ones correct the sums when two
    /// hosts of the cell report the same server in a different order.
    static constexpr core::duration full_report_interval =
        std::chrono::seconds(10);
    /// Longest interval without a report, even if nothing changed, so that
    /// missing reports mean that the cell cannot be reached. A cell without
    /// load reports nothing.
    static constexpr core::duration max_report_interval =
        std::chrono::seconds(1);
    /// Smallest change of a server's KV cache that is reported, in tokens: a
    /// tenth of the KV cache of a usual generation. Smaller changes are
    /// reported once they add up to it.
    static constexpr std::uint64_t min_reported_growth = 400;

    /// Returns the report that is due now, or nothing if there is nothing to
    /// report. `sums` has each server with load once.
    [[nodiscard]] std::optional<wire::cell_work> next(
        const placement::host_group& cell,
        const std::vector<placement::server_work>& sums,
        core::time_point now);

    /// Returns all that was reported so far, for a host whose link opens, or
    /// nothing before the first report.
    [[nodiscard]] std::optional<wire::cell_work>
    full(const placement::host_group& cell) const;

private:
    placement::host_group cell_; ///< The cell of the last report.
    std::map<placement::server_id, placement::work_size> reported_;
    bool was_empty_ = false; ///< Whether the last report said so.
    core::time_point full_report_at_{};
    std::optional<core::time_point> last_report_at_; ///< Of either kind.
};

} // namespace godwit::entry
