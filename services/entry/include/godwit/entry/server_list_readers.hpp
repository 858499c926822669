#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace godwit::entry {

/// Which hosts read the list of servers at its source, and what falls to this
/// one. Nobody is elected: the first host by name that reads is known from
/// what hosts say, and the next one reads when it falls silent.
///
/// Answers fleets of hundreds of hosts: each call to the source has its
/// price, and what one host reads its neighbours hear within milliseconds.
class server_list_readers
{
public:
    /// A host whose word is older, over several hosts, may have gone.
    static constexpr core::duration report_lifetime = std::chrono::seconds(2);
    /// A host is a reader for so long after each of its reads: as long as
    /// the next one may be held open and paused.
    static constexpr core::duration reader_lifetime =
        std::chrono::milliseconds(3500);

    explicit server_list_readers(core::host_name self) : self_(std::move(self))
    {}

    /// This host read the list just now.
    void record_own_read(core::time_point now) { last_own_read_at_ = now; }

    /// This host cannot read it.
    void clear_own_read() { last_own_read_at_.reset(); }

    /// The host says itself whether it reads the list.
    void record_report(
        const core::host_name& host, bool reads_list, core::time_point now);

    /// Others heard the host say that it reads the list, at that moment.
    void record_indirect_report(
        const core::host_name& host, core::time_point reported_at);

    /// Whether this host is a reader.
    [[nodiscard]] bool is_reader(core::time_point now) const;

    /// The first other host by name that reads the list, and when it was
    /// last heard to.
    [[nodiscard]] std::optional<std::pair<core::host_name, core::time_point>>
    first_other_reader(core::time_point now) const;

    /// Whether no host before this one by name reads the list: then it reads
    /// at the quick pace and tells the others.
    [[nodiscard]] bool is_primary(core::time_point now) const;

    /// Whether one of these hosts, before this one by name, reads the list,
    /// so that this one need not.
    [[nodiscard]] bool has_earlier_reader(
        const std::set<core::host_name>& peers, core::time_point now) const;

    /// Whether any of these hosts reads the list.
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
    reports last_reports_; ///< When each was last heard to read the list.
};

} // namespace godwit::entry
