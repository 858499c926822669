#include "poll_subset.hpp"

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

namespace godwit::proxy {

namespace {

struct ranked_server
{
    bool is_own_zone = false;
    std::uint64_t weight = 0;
    core::server_address address;
};

bool goes_before(const ranked_server& left, const ranked_server& right)
{
    return std::tie(left.is_own_zone, left.weight, left.address) >
           std::tie(right.is_own_zone, right.weight, right.address);
}

} // namespace

std::set<core::server_address> poll_subset(
    const std::vector<membership::listed_server>& listed,
    const core::host_name& host,
    const core::zone_name& zone,
    std::size_t limit)
{
    std::map<core::service_name, std::vector<ranked_server>> by_service;
    for (const auto& server : listed) {
        if (server.state != membership::listed_state::live)
            continue;
        by_service[server.service].push_back(
            {server.zone == zone,
             core::rendezvous_weight(host.value(), server.address.value()),
             server.address});
    }
    std::set<core::server_address> chosen;
    for (auto& [service, servers] : by_service) {
        std::sort(servers.begin(), servers.end(), goes_before);
        if (servers.size() > limit)
            servers.resize(limit);
        for (const auto& server : servers)
            chosen.insert(server.address);
    }
    return chosen;
}

} // namespace godwit::proxy
