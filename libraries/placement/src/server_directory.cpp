#include <godwit/placement/server_directory.hpp>

#include <compare>
#include <tuple>

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

} // namespace

directory_change
server_directory::mark_draining(entry& target, core::time_point now)
{
    target.missing_since.reset();
    target.server.state = server_state::draining;
    if (target.left_at)
        return directory_change::none;
    target.left_at = now;
    record_departure(target.server.service, now);
    return directory_change::left;
}

void server_directory::record_departure(
    const core::service_name& service, core::time_point now)
{
    departures& known = departures_[service];
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

// Two running servers cannot share an address. The list may contain records
// that no server wrote; one of another service must not remove a running
// server, and if it is genuine, the record of the former server is removed as
// well.
void server_directory::drain_same_address(
    const backend_server& server, core::time_point now)
{
    for (auto& [id, other] : servers_) {
        const bool is_replaced = id != server.id &&
                                 other.server.service == server.service &&
                                 other.server.address == server.address;
        if (is_replaced)
            mark_draining(other, now);
    }
}

directory_change
server_directory::add(const backend_server& server, core::time_point now)
{
    drain_same_address(server, now);
    entry& added =
        servers_.emplace(server.id, entry{server, {}, {}, {}}).first->second;
    if (!first_listed_at_)
        first_listed_at_ = now;
    if (now - *first_listed_at_ > initial_view_window)
        added.joined_at = now;
    if (server.state == server_state::ready)
        return directory_change::appeared;
    added.left_at = now;
    return directory_change::none;
}

// Whether the former incarnation was draining, or its record expired, does not
// matter for this one; it joins like any server that has just started.
directory_change server_directory::restart(
    entry& known, const backend_server& server, core::time_point now)
{
    drain_same_address(server, now);
    known = entry{server, {}, {}, now};
    if (server.state == server_state::draining)
        known.left_at = now;
    return directory_change::restarted;
}

directory_change
server_directory::update(const backend_server& server, core::time_point now)
{
    const auto found = servers_.find(server.id);
    if (found == servers_.end())
        return add(server, now);
    entry& known = found->second;
    // Older records may arrive late, from a slower source of the server list.
    const std::strong_ordering age = compare_age(server, known.server);
    const bool is_older = age == std::strong_ordering::less;
    const bool is_unchanged = age == std::strong_ordering::equal &&
                              server.state == server_state::ready;
    if (is_older || is_unchanged)
        return directory_change::none;
    if (is_restart(known.server, server))
        return restart(known, server, now);
    if (server.state == server_state::draining) {
        known.server = server;
        return mark_draining(known, now);
    }
    const bool was_usable = !known.left_at;
    known = entry{server, {}, {}, known.joined_at};
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
    if (!known.missing_since)
        known.missing_since = now;
    return directory_change::none;
}

std::vector<server_id> server_directory::expire(core::time_point now)
{
    std::vector<server_id> departed;
    for (auto at = servers_.begin(); at != servers_.end();) {
        entry& known = at->second;
        if (known.missing_since && now - *known.missing_since >= expiry_grace) {
            mark_draining(known, now);
            departed.push_back(at->first);
        }
        if (known.left_at && now - *known.left_at >= departed_retention)
            at = servers_.erase(at);
        else
            ++at;
    }
    return departed;
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

std::optional<core::time_point>
server_directory::left_at(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::nullopt : found->second.left_at;
}

std::optional<core::time_point>
server_directory::last_departure(const core::service_name& service) const
{
    std::optional<core::time_point> last;
    for (const auto& [id, one] : servers_) {
        if (one.server.service == service && one.left_at > last)
            last = one.left_at;
    }
    return last;
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
    for (const auto& [id, known] : servers_) {
        if (!known.left_at && known.server.service == service)
            found.push_back(&known.server);
    }
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
