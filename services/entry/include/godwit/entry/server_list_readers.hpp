#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace godwit::entry {

/// Tracks which hosts read the list of servers at its source, and decides
/// whether this one has to. There is no election: the first reader by host name
/// is known from the hosts' reports, and the next one takes over when its
/// reports stop.
///
/// In fleets of hundreds of hosts not every host should read the list: each
/// call to the source has its cost, and what one host reads reaches its
/// neighbours within milliseconds.
class server_list_readers
{
public:
    /// Time for which a host's latest report, possibly relayed by several
    /// hosts, is valid. A host whose latest report is older may have stopped.
    static constexpr core::duration report_lifetime = std::chrono::seconds(2);
    /// Time after each of its reads for which this host counts as a reader: the
    /// pause before the next read plus the time that the source may hold it
    /// open.
    static constexpr core::duration reader_lifetime =
        std::chrono::milliseconds(3500);

    /// Delay between the hosts of a cell that take over from its reader. A host
    /// that reads the list reports it in less.
    static constexpr core::duration takeover_delay =
        std::chrono::milliseconds(400);

    explicit server_list_readers(core::host_name self) : self_(std::move(self))
    {}

    /// Records that this host read the list at `now`.
    void record_own_read(core::time_point now) { last_own_read_at_ = now; }

    /// Records that this host cannot read the list.
    void clear_own_read() { last_own_read_at_.reset(); }

    /// Records the host's own report whether it reads the list.
    void record_report(
        const core::host_name& host, bool reads_list, core::time_point now);

    /// Records a relayed report that the host reads the list, made at
    /// `reported_at`.
    void record_indirect_report(
        const core::host_name& host, core::time_point reported_at);

    /// Returns whether this host is a reader.
    [[nodiscard]] bool is_reader(core::time_point now) const;

    /// Returns the first other host by name that reads the list, and the time
    /// of its latest report.
    [[nodiscard]] std::optional<std::pair<core::host_name, core::time_point>>
    first_other_reader(core::time_point now) const;

    /// Returns whether no host that precedes this one by name reads the list.
    /// This host then polls at the short interval and broadcasts changes to the
    /// others.
    [[nodiscard]] bool is_primary(core::time_point now) const;

    /// Returns whether any of these hosts that precedes this host by name reads
    /// the list, so that this host need not.
    [[nodiscard]] bool has_earlier_reader(
        const std::set<core::host_name>& peers, core::time_point now) const;

    /// Returns whether this host may leave it to one of these hosts to read the
    /// list: to any that reads it, but while this host reads it, only to one
    /// that precedes it by name. When the last reader stops, the hosts take
    /// over one after the other by name, since each reads the whole list first.
    [[nodiscard]] bool may_rely_on(
        const std::set<core::host_name>& peers, core::time_point now) const;

    /// Records whether any of these hosts reads the list, for the order in
    /// which hosts take over. `is_waiting` postpones the take-over. Called
    /// regularly.
    void observe(
        const std::set<core::host_name>& peers,
        bool is_waiting,
        core::time_point now);

    /// Returns whether any of these hosts reads the list.
    [[nodiscard]] bool has_reader(
        const std::set<core::host_name>& peers, core::time_point now) const;

private:
    using reports = std::map<core::host_name, core::time_point>;

    [[nodiscard]] bool has_fresh_report(
        reports::const_iterator end,
        const std::set<core::host_name>& peers,
        core::time_point now) const;

    core::host_name self_;
    std::optional<core::time_point> last_own_read_at_;
    reports last_reports_; ///< By reader, its latest report.
    /// When another host was last observed to read the list.
    std::optional<core::time_point> observed_at_;
};

} // namespace godwit::entry
