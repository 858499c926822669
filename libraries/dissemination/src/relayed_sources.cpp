#include <godwit/dissemination/relayed_sources.hpp>

#include <algorithm>

namespace godwit::dissemination {

namespace {

const std::optional<source_position>&
position_in(const source_report& report, source_topic topic)
{
    switch (topic) {
    case source_topic::tables:
        return report.tables;
    case source_topic::servers:
        return report.servers;
    case source_topic::hosts:
        break;
    }
    return report.hosts;
}

} // namespace

relayed_sources::topic_state& relayed_sources::state(source_topic topic)
{
    return topics_.at(static_cast<std::size_t>(topic));
}

const relayed_sources::topic_state&
relayed_sources::state(source_topic topic) const
{
    return topics_.at(static_cast<std::size_t>(topic));
}

void relayed_sources::advance(
    source_topic topic, const source_position& position)
{
    auto& known = state(topic).known;
    if (!known || *known < position)
        known = position;
}

// A source that restarted from an older copy without a new epoch goes back.
void relayed_sources::record_own_read(
    source_topic topic, const source_position& position, core::time_point now)
{
    state(topic).known = position;
    state(topic).read_at = now;
}

void relayed_sources::record_loss(source_topic topic)
{
    state(topic).read_at.reset();
}

// A table that is at least as new includes all earlier ones. The list of
// servers has no version; equal lists contain the same changes. The contents of
// the list of hosts are not relayed.
void relayed_sources::record_report(
    const core::host_name& host,
    const source_report& report,
    const known_contents& own,
    core::time_point now)
{
    std::erase_if(reports_, [now](const auto& each) {
        return now - each.second.at >= report_lifetime;
    });
    reports_.insert_or_assign(host, received_report{report, now});
    if (report.tables && own.table_version >= report.contents.table_version)
        advance(source_topic::tables, *report.tables);
    if (report.servers && own.server_digest == report.contents.server_digest)
        advance(source_topic::servers, *report.servers);
}

void relayed_sources::record_list_fetch(const source_position& position)
{
    advance(source_topic::servers, position);
}

void relayed_sources::clear()
{
    topics_ = {};
    reports_.clear();
}

const std::optional<source_position>&
relayed_sources::position(source_topic topic) const
{
    return state(topic).known;
}

std::optional<source_position>
relayed_sources::reported(source_topic topic, core::time_point now) const
{
    const topic_state& known = state(topic);
    if (!known.read_at || now - *known.read_at >= read_lifetime)
        return std::nullopt;
    return known.known;
}

source_report relayed_sources::own_report(
    const known_contents& own, core::time_point now) const
{
    return {
        reported(source_topic::tables, now),
        reported(source_topic::servers, now),
        state(source_topic::hosts).read_at ? position(source_topic::hosts)
                                           : std::nullopt,
        own};
}

bool relayed_sources::is_followed(
    source_topic topic,
    const std::set<core::host_name>& hosts,
    core::time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& each) {
        return now - each.second.at < report_lifetime &&
               position_in(each.second.report, topic) &&
               hosts.contains(each.first);
    });
}

bool relayed_sources::may_rely_on(
    source_topic topic,
    const std::set<core::host_name>& hosts,
    std::size_t rank,
    core::time_point now)
{
    auto& followed_at = state(topic).followed_at;
    if (is_followed(topic, hosts, now)) {
        followed_at = now;
        return true;
    }
    // Hosts that start together hear of the first reader a moment later.
    if (!followed_at)
        followed_at = now + (rank == 0 ? core::duration() : first_report_time);
    const auto delay = takeover_delay * rank;
    return now - *followed_at <
           std::min<core::duration>(delay, max_takeover_delay);
}

bool relayed_sources::is_level_with(
    source_topic topic,
    const std::set<core::host_name>& hosts,
    core::time_point now) const
{
    const auto& known = position(topic);
    return known &&
           std::any_of(reports_.begin(), reports_.end(), [&](const auto& each) {
               return now - each.second.at < report_lifetime &&
                      position_in(each.second.report, topic) == known &&
                      hosts.contains(each.first);
           });
}

} // namespace godwit::dissemination
