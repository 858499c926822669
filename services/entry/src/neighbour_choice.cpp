#include <godwit/entry/neighbour_choice.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace godwit::entry {

namespace {

std::size_t
place_of(const std::vector<known_host>& hosts, const core::host_name& name)
{
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&name](const auto& host) {
            return host.name == name;
        });
    return static_cast<std::size_t>(found - hosts.begin());
}

// The hosts of the own cell that come before the own one.
std::vector<known_host>
cell_links(const std::vector<known_host>& hosts, const known_host& self)
{
    std::vector<known_host> mates;
    std::copy_if(
        hosts.begin(),
        hosts.end(),
        std::back_inserter(mates),
        [&self](const auto& host) { return host.zone == self.zone; });
    const std::size_t own = place_of(mates, self.name);
    const std::size_t first = own - own % cell_size;
    const auto begin = mates.begin() + static_cast<std::ptrdiff_t>(first);
    return {begin, mates.begin() + static_cast<std::ptrdiff_t>(own)};
}

} // namespace

std::vector<known_host>
choose_neighbours(std::vector<known_host> hosts, const core::host_name& self)
{
    std::sort(hosts.begin(), hosts.end());
    const std::size_t own = place_of(hosts, self);
    if (own == hosts.size())
        return {};
    if (hosts.size() <= full_mesh)
        return {
            hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(own)};
    std::vector<known_host> chosen = cell_links(hosts, hosts[own]);
    for (std::size_t step = 1; step <= hosts.size() / 2; step *= 2) {
        const known_host& other = hosts[(own + step) % hosts.size()];
        if (std::find(chosen.begin(), chosen.end(), other) == chosen.end())
            chosen.push_back(other);
    }
    return chosen;
}

} // namespace godwit::entry
