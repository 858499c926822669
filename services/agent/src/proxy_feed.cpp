#include "proxy_feed.hpp"

#include "snapshot_messages.hpp"

#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace godwit::agent {

void proxy_feed::opened(const link_pointer& link)
{
    proxies_.emplace(link, proxy_position());
    if (servers_.known())
        link->send(servers_.whole());
}

void proxy_feed::closed(const link_pointer& link)
{
    proxies_.erase(link);
}

void proxy_feed::received(
    const link_pointer& link, const wire::catalogue_position& value)
{
    const auto found = proxies_.find(link);
    if (found == proxies_.end())
        return;
    proxy_position& position = found->second;
    // A proxy that could not apply a change says again what it had.
    const bool is_stuck = position.in_force == value.next_offset &&
                          value.next_offset < position.sent;
    const bool is_first = !position.in_force;
    position.in_force = value.next_offset;
    position.hash = value.hash;
    if (position.snapshot_under_way &&
        value.next_offset >= *position.snapshot_under_way)
        position.snapshot_under_way.reset();
    if (is_first) {
        position.sent = value.next_offset;
        bring_up_to_date(link, position);
    } else if (is_stuck && !position.snapshot_under_way) {
        send_snapshot(link, position);
    }
}

void proxy_feed::publish(
    catalogue::state_pointer content,
    const std::vector<catalogue::record>& records,
    std::uint64_t before)
{
    content_ = std::move(content);
    history_.add(records, before, *content_);
    for (const link_pointer& link : links()) {
        const auto found = proxies_.find(link);
        if (found != proxies_.end() && found->second.in_force)
            bring_up_to_date(link, found->second);
    }
}

void proxy_feed::bring_up_to_date(
    const link_pointer& link, proxy_position& position)
{
    // The proxy may be ahead of an agent that was restarted: then it keeps
    // what it has until this agent has caught up.
    if (!content_ || position.sent >= content_->next_offset())
        return;
    const auto changes =
        history_.between(position.sent, content_->next_offset());
    if (!changes || position.sent == 0 || position.snapshot_under_way) {
        send_snapshot(link, position);
        return;
    }
    position.sent = content_->next_offset();
    for (const wire::catalogue_change& change : *changes)
        link->send(change);
}

void proxy_feed::send_snapshot(
    const link_pointer& link, proxy_position& position)
{
    if (!content_)
        return;
    position.sent = content_->next_offset();
    position.snapshot_under_way = position.sent;
    telemetry::log_event(
        telemetry::log_level::info,
        "proxy_feed",
        "snapshot_sent",
        {{"next_offset", position.sent},
         {"in_force", position.in_force.value_or(0)}});
    for (const auto& part : snapshot_messages(*content_, {}))
        link->send(part);
}

void proxy_feed::update_servers(const platform::host_list& list)
{
    const wire::backend_servers changes = servers_.update(list);
    if (changes != wire::backend_servers())
        broadcast(changes);
}

void proxy_feed::broadcast(const wire::message& value)
{
    for (const link_pointer& link : links())
        link->send(value);
}

std::vector<proxy_feed::link_pointer> proxy_feed::links() const
{
    // A send may close a link, which changes the map.
    std::vector<link_pointer> found;
    for (const auto& [link, position] : proxies_)
        found.push_back(link);
    return found;
}

std::optional<std::uint64_t> proxy_feed::in_force() const
{
    std::optional<std::uint64_t> least;
    for (const auto& [link, position] : proxies_) {
        if (!position.in_force)
            return std::nullopt;
        least =
            std::min(least.value_or(*position.in_force), *position.in_force);
    }
    return least;
}

} // namespace godwit::agent
