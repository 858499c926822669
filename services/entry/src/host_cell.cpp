#include <godwit/entry/host_cell.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace godwit::entry {

namespace {

void split_zone(
    const core::zone_name& zone,
    std::vector<known_host> hosts,
    std::vector<host_cell>& cells)
{
    std::size_t number = 0;
    for (std::size_t first = 0; first < hosts.size(); first += max_cell_hosts) {
        const auto begin = hosts.begin() + static_cast<std::ptrdiff_t>(first);
        const std::size_t count =
            std::min(max_cell_hosts, hosts.size() - first);
        cells.push_back(host_cell{
            placement::host_group(zone.value() + "/" + std::to_string(number)),
            {begin, begin + static_cast<std::ptrdiff_t>(count)}});
        ++number;
    }
}

} // namespace

std::vector<host_cell> divide_into_cells(std::vector<known_host> hosts)
{
    std::sort(hosts.begin(), hosts.end());
    if (hosts.size() <= max_full_mesh_hosts)
        return {host_cell{placement::host_group("all"), std::move(hosts)}};
    std::map<core::zone_name, std::vector<known_host>> zones;
    for (known_host& host : hosts)
        zones[host.zone].push_back(std::move(host));
    std::vector<host_cell> cells;
    for (auto& [zone, members] : zones)
        split_zone(zone, std::move(members), cells);
    return cells;
}

} // namespace godwit::entry
