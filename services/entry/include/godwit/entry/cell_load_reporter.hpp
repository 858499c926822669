#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/wire/cell_work.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace godwit::entry {

/// What a host tells other cells of its own one: the work at each server, as
/// sums over the cell's hosts.
class cell_load_reporter
{
public:
    /// The span between two words. A choice between engines is as good as
    /// what is known of them; a prompt takes some 400 ms to be read.
    static constexpr core::duration report_interval =
        std::chrono::milliseconds(100);
    /// All sums are told this often. A new link begins with all of them, and
    /// loses none of what follows; this mends what two hosts of the cell told
    /// of the same server in another order. Told each second, they were 8% of
    /// the bytes between the zones of 295 hosts (0.87 GB in 48 s).
    static constexpr core::duration full_report_interval =
        std::chrono::seconds(10);
    /// Something is told this often, so that silence means that the cell is
    /// not heard.
    static constexpr core::duration max_report_interval =
        std::chrono::milliseconds(500);
    /// Memory that grows by less than this many tokens, a tenth of a usual
    /// run's, waits for more.
    static constexpr std::uint64_t min_reported_growth = 400;

    /// The word that is due now, if anything is to be told. `sums` names
    /// each server with work once.
    [[nodiscard]] std::optional<wire::cell_work> next(
        const placement::host_group& cell,
        const std::vector<placement::server_work>& sums,
        core::time_point now);

    /// All that was told so far, for a host that begins to listen; nothing
    /// before the first word.
    [[nodiscard]] std::optional<wire::cell_work>
    full(const placement::host_group& cell) const;

private:
    placement::host_group cell_; ///< Whose sums were told.
    std::map<placement::server_id, placement::work_size> reported_;
    core::time_point full_report_at_{};
    std::optional<core::time_point> last_report_at_; ///< The last word.
};

} // namespace godwit::entry
