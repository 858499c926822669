#include <godwit/placement/server_directory.hpp>

#include <algorithm>
#include <compare>
#include <functional>
#include <tuple>
#include <utility>

namespace godwit::placement {

namespace {

// Revisions are only comparable within one incarnation, so that the start is
// compared first.
std::strong_ordering
compare_age(const backend_server& left, const backend_server& right)
{
    return std::tie(left.start, left.revision) <=>
           std::tie(right.start, right.revision);
}

// A start that was unknown before does not show that the server restarted.
bool is_restart(const backend_server& known, const backend_server& server)
{
    return known.start.is_known() && server.start > known.start;
}

std::size_t hash_of(const http::endpoint& address)
{
    return std::hash<std::string>()(address.address()) ^
           (static_cast<std::size_t>(address.port()) << 20U);
}

} // namespace

directory_change
server_directory::mark_draining(entry& target, core::time_point now)
{
    target.missing_since.reset();
    target.server.state = server_state::draining;
    if (target.left_at)
        return directory_change::none;
    remove_usable(target);
    target.left_at = now;
    deadlines_.emplace(now + departed_retention, target.server.id);
    record_departure(target.server.service, now);
    return directory_change::left;
}

void server_directory::record_departure(
    const core::service_name& service, core::time_point now)
{
    departures& known = departures_[service];
    known.last_at = now;
    if (known.count == 0 || now - known.span_start > departure_span) {
        known.span_start = now;
        known.count = 0;
    }
    ++known.count;
    const bool is_largest = known.count >= known.largest ||
                            now - known.largest_at > departure_memory;
    if (!is_largest)
        return;
    known.largest = known.count;
    known.largest_at = now;
}

std::size_t server_directory::largest_departure(
    const core::service_name& service, core::time_point now) const
{
    const auto known = departures_.find(service);
    const bool is_recent = known != departures_.end() &&
                           now - known->second.largest_at <= departure_memory;
    return is_recent ? known->second.largest : 0;
}

void server_directory::replace(entry& known, entry replacement)
{
    with_start_ -= known.server.start.is_known() ? 1 : 0;
    with_start_ += replacement.server.start.is_known() ? 1 : 0;
    known = std::move(replacement);
}

void server_directory::add_usable(const entry& added)
{
    const backend_server& server = added.server;
    usable_[server.service].emplace(server.id, &server);
    by_address_.emplace(hash_of(server.address), &server);
    digest_.toggle(server.id, server.start);
}

void server_directory::remove_usable(const entry& removed)
{
    const backend_server& server = removed.server;
    digest_.toggle(server.id, server.start);
    const auto service = usable_.find(server.service);
    service->second.erase(server.id);
    if (service->second.empty())
        usable_.erase(service);
    const auto [first, last] = by_address_.equal_range(hash_of(server.address));
    const auto found = std::find_if(first, last, [&server](const auto& each) {
        return each.second == &server;
    });
    if (found != last)
        by_address_.erase(found);
}

std::vector<const backend_server*>
server_directory::usable_at(const http::endpoint& address) const
{
    std::vector<const backend_server*> found;
    const auto [first, last] = by_address_.equal_range(hash_of(address));
    for (auto at = first; at != last; ++at) {
        if (at->second->address == address)
            found.push_back(at->second);
    }
    return found;
}

const backend_server*
server_directory::find_at(const http::endpoint& address) const
{
    const auto usable = usable_at(address);
    if (!usable.empty())
        return usable.front();
    const auto draining = std::find_if(
        servers_.begin(), servers_.end(), [&address](const auto& each) {
            return each.second.server.address == address;
        });
    return draining == servers_.end() ? nullptr : &draining->second.server;
}

// Two running servers cannot share an address. The list may contain records
// that no server wrote; one of another service must not remove a running
// server, and if it is genuine, the record of the former server is removed as
// well.
void server_directory::drain_same_address(
    const backend_server& server, core::time_point now)
{
    for (const backend_server* other : usable_at(server.address)) {
        const bool is_replaced =
            other->id != server.id && other->service == server.service;
        if (is_replaced)
            mark_draining(servers_.at(other->id), now);
    }
}

directory_change
server_directory::add(const backend_server& server, core::time_point now)
{
    drain_same_address(server, now);
    entry& added = servers_.emplace(server.id, entry{server, {}, {}, {}, now})
                       .first->second;
    with_start_ += server.start.is_known() ? 1 : 0;
    if (!first_listed_at_)
        first_listed_at_ = now;
    if (now - *first_listed_at_ > initial_view_window)
        added.joined_at = now;
    if (server.state == server_state::ready) {
        add_usable(added);
        return directory_change::appeared;
    }
    added.left_at = now;
    deadlines_.emplace(now + departed_retention, server.id);
    return directory_change::none;
}

// Whether the former incarnation was draining, or its record expired, does not
// matter for this one; it joins like any server that has just started.
directory_change server_directory::restart(
    entry& known, const backend_server& server, core::time_point now)
{
    drain_same_address(server, now);
    if (!known.left_at)
        remove_usable(known);
    replace(known, entry{server, {}, {}, now, now});
    if (server.state == server_state::ready) {
        add_usable(known);
        return directory_change::restarted;
    }
    known.left_at = now;
    deadlines_.emplace(now + departed_retention, server.id);
    return directory_change::restarted;
}

directory_change server_directory::announce_leaving(
    const server_id& id, server_start start, core::time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || start < found->second.server.start)
        return directory_change::none;
    entry& leaving = found->second;
    if (std::exchange(leaving.has_announced_leaving, true))
        return directory_change::none;
    deadlines_.emplace(now + announced_retention, id);
    return mark_draining(leaving, now);
}

directory_change
server_directory::update(const backend_server& record, core::time_point now)
{
    const auto found = servers_.find(record.id);
    if (found == servers_.end())
        return add(record, now);
    entry& known = found->second;
    backend_server server = record;
    if (known.has_announced_leaving && !is_restart(known.server, record))
        server.state = server_state::draining;
    // Older records may arrive late, from a slower source of the server list.
    const std::strong_ordering age = compare_age(server, known.server);
    const bool is_older = age == std::strong_ordering::less;
    const bool is_unchanged = age == std::strong_ordering::equal &&
                              server.state == server_state::ready;
    if (is_older || is_unchanged)
        return directory_change::none;
    if (is_restart(known.server, server))
        return restart(known, server, now);
    const bool was_usable = !known.left_at;
    if (was_usable)
        remove_usable(known);
    if (server.state == server_state::draining) {
        entry draining = known;
        draining.server = server;
        replace(known, std::move(draining));
        if (was_usable)
            add_usable(known);
        return mark_draining(known, now);
    }
    const core::time_point known_since = was_usable ? known.known_since : now;
    replace(known, entry{server, {}, {}, known.joined_at, known_since});
    add_usable(known);
    return was_usable ? directory_change::none : directory_change::appeared;
}

void server_directory::confirm(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        found->second.missing_since.reset();
}

directory_change server_directory::remove(
    const server_id& id, source_state source, core::time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return directory_change::none;
    entry& known = found->second;
    if (known.left_at)
        return directory_change::none;
    if (source == source_state::steady)
        return mark_draining(known, now);
    if (!known.missing_since) {
        known.missing_since = now;
        last_missing_at_ = now;
        deadlines_.emplace(now + expiry_grace, id);
    }
    return directory_change::none;
}

std::vector<server_id> server_directory::expire(core::time_point now)
{
    std::vector<server_id> departed;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const server_id id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        expire_one(id, departed, now);
    }
    return departed;
}

void server_directory::expire_one(
    const server_id& id, std::vector<server_id>& departed, core::time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    entry& known = found->second;
    if (known.missing_since && now - *known.missing_since >= expiry_grace) {
        mark_draining(known, now);
        departed.push_back(id);
    }
    const core::duration retention =
        known.has_announced_leaving ? announced_retention : departed_retention;
    const bool is_over = known.left_at && now - *known.left_at >= retention;
    if (!is_over)
        return;
    with_start_ -= known.server.start.is_known() ? 1 : 0;
    servers_.erase(found);
}

const backend_server* server_directory::find(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.server;
}

bool server_directory::is_usable(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found != servers_.end() && !found->second.left_at;
}

bool server_directory::may_resume_at(
    const backend_server& server, core::time_point now) const
{
    const auto found = servers_.find(server.id);
    if (found == servers_.end() || found->second.server.start != server.start)
        return false;
    const auto& left_at = found->second.left_at;
    return !left_at || now - *left_at < resume_grace;
}

std::optional<core::time_point>
server_directory::left_at(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::nullopt : found->second.left_at;
}

std::optional<core::time_point>
server_directory::last_departure(const core::service_name& service) const
{
    const auto known = departures_.find(service);
    if (known == departures_.end())
        return std::nullopt;
    return known->second.last_at;
}

std::optional<core::time_point>
server_directory::known_since(const server_id& id) const
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return std::nullopt;
    return found->second.known_since;
}

std::optional<core::time_point>
server_directory::joined_at(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::nullopt : found->second.joined_at;
}

std::vector<const backend_server*>
server_directory::usable(const core::service_name& service) const
{
    std::vector<const backend_server*> found;
    const auto known = usable_.find(service);
    if (known == usable_.end())
        return found;
    found.reserve(known->second.size());
    for (const auto& [id, server] : known->second)
        found.push_back(server);
    return found;
}

std::vector<server_id> server_directory::ids() const
{
    std::vector<server_id> all;
    all.reserve(servers_.size());
    for (const auto& [id, known] : servers_)
        all.push_back(id);
    return all;
}

} // namespace godwit::placement
