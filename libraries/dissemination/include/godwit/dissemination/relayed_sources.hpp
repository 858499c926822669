#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dissemination/source_position.hpp>
#include <godwit/dissemination/source_report.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace godwit::dissemination {

/// Hosts of a fleet that read the route table whatever others report, so that
/// no single one of them can delay a version.
inline constexpr std::size_t permanent_readers = 8;

/// Returns how many of these hosts are in each of so many groups of hosts; at
/// least one.
[[nodiscard]] constexpr std::size_t permanent_readers_of(std::size_t groups)
{
    const std::size_t divisor = groups == 0 ? 1 : groups;
    return (permanent_readers + divisor - 1) / divisor;
}

/// Tracks up to which position of each source this host knows everything, from
/// its own reads and from the reports of other hosts, and which sources others
/// read for it.
///
/// If each host read each source, the bytes read would grow with the square of
/// a fleet whose tables and lists grow with it. A host that knows as much as
/// one that reads need not read it again: it continues from that host's
/// position.
class relayed_sources
{
public:
    /// Time for which a report is valid. Hosts that read report more often.
    static constexpr core::duration report_lifetime =
        std::chrono::milliseconds(2500);
    /// Time for which a host's read shows that it reads a source: the longest
    /// time for which the source may hold the next read open, and its timeout.
    static constexpr core::duration read_lifetime = std::chrono::seconds(13);
    /// Hosts whose reader stopped read for themselves after this time for each
    /// host before them, since the first ones will report to the others, but
    /// not later than `max_takeover_delay`.
    static constexpr core::duration takeover_delay =
        std::chrono::milliseconds(400);
    static constexpr core::duration max_takeover_delay =
        std::chrono::seconds(2);
    /// Time in which the first reader of a group of hosts reads and reports.
    static constexpr core::duration first_report_time =
        std::chrono::milliseconds(1500);

    /// Records that this host read the topic up to `position`.
    void record_own_read(
        source_topic topic,
        const source_position& position,
        core::time_point now);

    /// Records that this host cannot read the topic.
    void record_loss(source_topic topic);

    /// Records another host's report. `own` is what this host has in force.
    void record_report(
        const core::host_name& host,
        const source_report& report,
        const known_contents& own,
        core::time_point now);

    /// Records that another host sent its whole list of servers, which includes
    /// everything before `position`, to this host, which had none.
    void record_list_fetch(const source_position& position);

    /// Forgets all positions, which after a suspension may be outdated.
    void clear();

    /// Returns the position up to which this host knows everything.
    [[nodiscard]] const std::optional<source_position>&
    position(source_topic topic) const;

    /// Returns what to report to other hosts about this host's reads.
    [[nodiscard]] source_report
    own_report(const known_contents& own, core::time_point now) const;

    /// Returns whether one of these hosts reads the topic.
    [[nodiscard]] bool is_followed(
        source_topic topic,
        const std::set<core::host_name>& hosts,
        core::time_point now) const;

    /// Returns whether this host may leave it to one of these hosts to read the
    /// topic. Once none of them does, this host takes over after a delay that
    /// grows with `rank`, the number of these hosts before it.
    [[nodiscard]] bool may_rely_on(
        source_topic topic,
        const std::set<core::host_name>& hosts,
        std::size_t rank,
        core::time_point now);

    /// Returns whether one of these hosts has read the topic exactly as far as
    /// this host. Where the contents are not relayed, another position shows
    /// that there is something to read.
    [[nodiscard]] bool is_level_with(
        source_topic topic,
        const std::set<core::host_name>& hosts,
        core::time_point now) const;

private:
    struct received_report
    {
        source_report report;
        core::time_point at;
    };

    struct topic_state
    {
        std::optional<source_position> known;
        std::optional<core::time_point> read_at; ///< By this host.
        std::optional<core::time_point> followed_at;
    };

    [[nodiscard]] topic_state& state(source_topic topic);
    [[nodiscard]] const topic_state& state(source_topic topic) const;
    void advance(source_topic topic, const source_position& position);
    [[nodiscard]] std::optional<source_position>
    reported(source_topic topic, core::time_point now) const;

    std::array<topic_state, source_topics> topics_;
    std::map<core::host_name, received_report> reports_;
};

} // namespace godwit::dissemination
