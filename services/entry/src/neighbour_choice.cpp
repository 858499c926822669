#include <godwit/entry/neighbour_choice.hpp>

#include <algorithm>

namespace godwit::entry {

std::vector<known_host>
choose_neighbours(std::vector<known_host> hosts, const core::host_name& self)
{
    std::sort(hosts.begin(), hosts.end());
    const auto own =
        std::find_if(hosts.begin(), hosts.end(), [&self](const auto& host) {
            return host.name == self;
        });
    if (own == hosts.end())
        return {};
    const auto place = static_cast<std::size_t>(own - hosts.begin());
    std::vector<known_host> chosen;
    if (hosts.size() <= full_mesh) {
        chosen.assign(hosts.begin(), own);
        return chosen;
    }
    for (std::size_t step = 1; step <= hosts.size() / 2; step *= 2)
        chosen.push_back(hosts[(place + step) % hosts.size()]);
    return chosen;
}

} // namespace godwit::entry
