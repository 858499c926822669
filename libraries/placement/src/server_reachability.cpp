#include <godwit/placement/server_reachability.hpp>

#include <algorithm>
#include <utility>

namespace godwit::placement {

void server_reachability::record_connect_failure(
    const http::endpoint& server, core::time_point now)
{
    detours_.insert_or_assign(server, detour{now, now});
}

void server_reachability::record_connected(const http::endpoint& server)
{
    detours_.erase(server);
}

bool server_reachability::needs_detour(
    const http::endpoint& server, core::time_point now) const
{
    if (are_links_lost_)
        return true;
    const auto found = detours_.find(server);
    return found != detours_.end() &&
           now - found->second.failed_at < detour_lifetime;
}

std::vector<http::endpoint>
server_reachability::take_due_detours(core::time_point now)
{
    std::erase_if(detours_, [now](const auto& each) {
        return now - each.second.failed_at >= detour_lifetime;
    });
    std::vector<http::endpoint> due;
    for (auto& [server, known] : detours_) {
        if (now - known.probed_at < detour_probe_interval)
            continue;
        known.probed_at = now;
        due.push_back(server);
    }
    return due;
}

void server_reachability::record_failure(
    const server_id& server, core::time_point now)
{
    std::erase_if(failures_, [now](const auto& each) {
        return now - each.second >= failure_window;
    });
    failures_.insert_or_assign(server, now);
}

std::size_t server_reachability::failed_servers(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        failures_.begin(), failures_.end(), [now](const auto& each) {
            return now - each.second < failure_window;
        }));
}

bool server_reachability::should_probe(
    std::size_t known_servers, core::time_point now) const
{
    if (is_probing_ || known_servers == 0 || now - probed_at_ < probe_interval)
        return false;
    return are_links_lost_ ||
           failed_servers(now) >= std::min(min_failed_servers, known_servers);
}

void server_reachability::begin_probe(core::time_point now)
{
    is_probing_ = true;
    probed_at_ = now;
}

// Failures from before a successful probe are those of single servers.
bool server_reachability::end_probe(std::size_t connected)
{
    is_probing_ = false;
    const bool were_lost = std::exchange(are_links_lost_, connected == 0);
    if (connected > 0)
        failures_.clear();
    return were_lost != are_links_lost_;
}

} // namespace godwit::placement
