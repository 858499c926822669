#include "state_report.hpp"

#include <godwit/telemetry/state_dump.hpp>

#include <boost/json/array.hpp>

#include <chrono>
#include <string>

namespace godwit::agent {

namespace {

namespace json = boost::json;

json::value milliseconds(const std::optional<core::duration>& time)
{
    if (!time)
        return nullptr;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*time).count();
}

json::value number(const std::optional<std::uint64_t>& value)
{
    return value ? json::value(*value) : json::value(nullptr);
}

} // namespace

json::object describe(
    const catalogue::follower_status& status,
    std::optional<std::uint64_t> in_force)
{
    json::array alarms;
    for (const catalogue::catalogue_alarm& alarm : status.alarms)
        alarms.push_back(json::object{
            {"kind", catalogue::to_string(alarm.kind)},
            {"offset", alarm.offset},
            {"message", alarm.message}});
    json::array neighbours;
    for (const core::host_name& neighbour : status.neighbours)
        neighbours.emplace_back(neighbour.value());
    json::object section{
        {"ready", status.ready},
        {"next_offset", status.next_offset},
        {"in_force", number(in_force)},
        {"hash", status.hash},
        {"source", catalogue::to_string(status.source)},
        {"age_ms", milliseconds(status.age)},
        {"log_available", status.log_available},
        {"log_first", status.log_first},
        {"newest_checkpoint", nullptr},
        {"neighbours", neighbours},
        {"alarms", alarms}};
    if (status.newest_checkpoint)
        section["newest_checkpoint"] = json::object{
            {"state_offset", status.newest_checkpoint->state_offset},
            {"time_ms", status.newest_checkpoint->time_ms}};
    return section;
}

json::object describe(const proxy_feed& feed)
{
    json::array proxies;
    for (const auto& [link, position] : feed.proxies())
        proxies.push_back(json::object{
            {"incarnation", link->peer()->incarnation.value()},
            {"address", link->peer()->address},
            {"in_force", number(position.in_force)},
            {"hash", position.hash},
            {"sent", position.sent},
            {"queued_bytes", link->queued()}});
    return {
        {"proxies", proxies},
        {"servers_known", feed.servers().known()},
        {"servers", feed.servers().size()}};
}

json::object describe(const peer_links& peers)
{
    wire::link_counters sum;
    for (const auto& link : peers.links()) {
        sum.bytes_sent += link->counters().bytes_sent;
        sum.bytes_received += link->counters().bytes_received;
    }
    json::object section =
        telemetry::state_dump::list(peers.peers(), [](const wire::hello& peer) {
            return json::object{
                {"host", peer.host.value()},
                {"zone", peer.zone.value()},
                {"incarnation", peer.incarnation.value()},
                {"address", peer.address}};
        });
    section["links"] = peers.links().size();
    section["bytes_sent"] = sum.bytes_sent;
    section["bytes_received"] = sum.bytes_received;
    return section;
}

json::object describe(const claims::claimer& claimer)
{
    const claims::claimer_counts& counts = claimer.counts();
    return {
        {"ready", claimer.ready()},
        {"remembered", claimer.claims().size()},
        {"next_offset", claimer.claims().next()},
        {"bad_records", claimer.claims().bad_records()},
        {"early_trims", claimer.claims().early_trims()},
        {"pending", claimer.pending_asks()},
        {"asked", counts.asked},
        {"won", counts.won},
        {"held", counts.held},
        {"unavailable", counts.unavailable},
        {"appends", counts.appends},
        {"appends_lost", counts.appends_lost},
        {"entries_appended", counts.entries_appended},
        {"entries_forwarded", counts.entries_forwarded},
        {"releases", counts.releases}};
}

json::object describe(const platform::log_client_counters& counters)
{
    return {
        {"appends", counters.appends},
        {"appends_unknown", counters.appends_unknown},
        {"appends_refused", counters.appends_refused},
        {"reads", counters.reads},
        {"reads_failed", counters.reads_failed}};
}

} // namespace godwit::agent
