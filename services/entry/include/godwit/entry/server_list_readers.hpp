#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace godwit::entry {

/// What a host reports about its reads of the list of servers.
enum class reader_statement : std::uint8_t
{
    none,   ///< It does not read the list.
    reads,  ///< It reads the list, but does not send its changes to this host.
    serves, ///< It reads the list and sends its changes to this host.
};

/// Tracks which hosts read the list of servers at its source, and decides
/// whether this one has to. There is no election: the first reader by host name
/// is known from the hosts' reports, and the next one takes over when its
/// reports stop.
///
/// In fleets of hundreds of hosts not every host should read the list: each
/// call to the source has its cost, and what one host reads reaches its
/// neighbours within milliseconds. A host relies only on readers that state
/// that they serve it: which hosts a reader knows may differ from what this
/// host knows, for seconds after a host was added.
class server_list_readers
{
public:
    /// Time for which a host's latest report, possibly relayed by several
    /// hosts, is valid. A host whose latest report is older may have stopped.
    static constexpr core::duration report_lifetime = std::chrono::seconds(2);
    /// Time for which a reader's statement that it serves this host is valid.
    /// Readers repeat it at least once per second; a host that loses all of its
    /// readers has to read the list within two seconds.
    static constexpr core::duration statement_lifetime =
        std::chrono::milliseconds(1400);
    /// Time after each of its reads for which this host counts as a reader: the
    /// pause before the next read plus the time that the source may hold it
    /// open.
    static constexpr core::duration reader_lifetime =
        std::chrono::milliseconds(3500);

    /// Delay between the hosts of a cell that take over from its last reader. A
    /// host that reads the list reports it in about this time.
    static constexpr core::duration takeover_delay =
        std::chrono::milliseconds(200);
    /// The same while another reader is left.
    static constexpr core::duration replacement_delay =
        std::chrono::milliseconds(400);

    explicit server_list_readers(core::host_name self) : self_(std::move(self))
    {}

    /// Records that this host read the list at `now`.
    void record_own_read(core::time_point now) { last_own_read_at_ = now; }

    /// Records that this host cannot read the list.
    void clear_own_read() { last_own_read_at_.reset(); }

    /// Records the host's own report about its reads.
    void record_report(
        const core::host_name& host,
        reader_statement statement,
        core::time_point now);

    /// Records a relayed report that the host reads the list, made at
    /// `reported_at`.
    void record_indirect_report(
        const core::host_name& host, core::time_point reported_at);

    /// Records that the link to the host closed: it sends nothing any more.
    void forget(const core::host_name& host);

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

    /// Returns how many of these hosts serve this host.
    [[nodiscard]] std::size_t
    serving(const std::set<core::host_name>& peers, core::time_point now) const;

    /// Returns how many of these hosts that precede this host by name serve it.
    [[nodiscard]] std::size_t serving_earlier(
        const std::set<core::host_name>& peers, core::time_point now) const;

    /// Returns whether this host may leave it to these hosts to read the list:
    /// to `required` ones that serve it, but while this host reads it, only to
    /// those that precede it by name. When readers stop, the hosts take over
    /// one after the other by name, since each reads the whole list first; the
    /// sooner if no reader is left.
    [[nodiscard]] bool may_rely_on(
        const std::set<core::host_name>& peers,
        std::size_t required,
        core::time_point now) const;

    /// Records how many of these hosts serve this host, for the order in which
    /// hosts take over. `is_waiting` postpones the take-over. Called regularly.
    void observe(
        const std::set<core::host_name>& peers,
        std::size_t required,
        bool is_waiting,
        core::time_point now);

private:
    using times = std::map<core::host_name, core::time_point>;

    [[nodiscard]] std::size_t count_serving(
        times::const_iterator end,
        const std::set<core::host_name>& peers,
        core::time_point now) const;
    [[nodiscard]] std::size_t
    rank(const std::set<core::host_name>& peers, core::time_point now) const;

    core::host_name self_;
    std::optional<core::time_point> last_own_read_at_;
    times last_reports_;    ///< By reader, its latest report.
    times last_heard_;      ///< By host, its latest report of any kind.
    times last_statements_; ///< By host, when it last said that it serves.
    /// When enough hosts, and when any host, were last observed to serve.
    std::optional<core::time_point> enough_at_;
    std::optional<core::time_point> any_at_;
};

} // namespace godwit::entry
