#include <godwit/placement/probed_servers.hpp>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace godwit::placement {

// Servers of the host's own zone come first: while the zone is cut off from the
// others, its servers still serve.
std::vector<http::endpoint> choose_probed_servers(
    const server_directory& directory,
    const core::zone_name& zone,
    std::size_t count,
    core::random& random)
{
    std::vector<std::tuple<bool, std::uint64_t, http::endpoint>> ranked;
    for (const server_id& id : directory.ids()) {
        if (!directory.is_usable(id))
            continue;
        const backend_server& server = *directory.find(id);
        ranked.emplace_back(server.zone != zone, random.next(), server.address);
    }
    const std::size_t chosen_count = std::min(ranked.size(), count);
    std::partial_sort(
        ranked.begin(),
        ranked.begin() + static_cast<std::ptrdiff_t>(chosen_count),
        ranked.end());
    std::vector<http::endpoint> chosen;
    for (std::size_t index = 0; index < chosen_count; ++index)
        chosen.push_back(std::get<http::endpoint>(ranked[index]));
    return chosen;
}

} // namespace godwit::placement
