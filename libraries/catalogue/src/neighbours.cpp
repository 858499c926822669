#include <godwit/catalogue/neighbours.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace {

std::uint64_t ring_position(const core::host_name& host)
{
    return core::stable_hash(host.value());
}

// The host that follows `self` on the ring.
const member*
successor(const core::host_name& self, const std::vector<member>& members)
{
    const std::uint64_t origin = ring_position(self);
    const auto distance = [origin](const member& each) {
        return ring_position(each.host) - origin; // Wraps around.
    };
    const member* nearest = nullptr;
    for (const member& each : members) {
        if (each.host == self)
            continue;
        if (nearest == nullptr || distance(each) < distance(*nearest))
            nearest = &each;
    }
    return nearest;
}

core::zone_name
zone_of(const core::host_name& self, const std::vector<member>& members)
{
    for (const member& each : members) {
        if (each.host == self)
            return each.zone;
    }
    return {};
}

} // namespace

std::vector<core::host_name> choose_neighbours(
    const core::host_name& self,
    const std::vector<member>& members,
    std::size_t count)
{
    std::vector<core::host_name> chosen;
    const member* next = successor(self, members);
    if (next == nullptr || count == 0)
        return chosen;
    chosen.push_back(next->host);
    const core::zone_name own_zone = zone_of(self, members);
    std::vector<member> others;
    for (const member& each : members) {
        if (each.host != self && each.host != next->host)
            others.push_back(each);
    }
    const auto weight = [&self](const member& each) {
        return core::rendezvous_weight(self.value(), each.host.value());
    };
    std::sort(
        others.begin(),
        others.end(),
        [&weight](const member& a, const member& b) {
            return weight(a) > weight(b);
        });
    // A zone that is cut from the log learns through another zone.
    const auto foreign = std::find_if(
        others.begin(), others.end(), [&own_zone](const member& each) {
            return each.zone != own_zone;
        });
    if (foreign != others.end())
        std::rotate(others.begin(), foreign, foreign + 1);
    for (const member& each : others) {
        if (chosen.size() == count)
            break;
        chosen.push_back(each.host);
    }
    return chosen;
}

std::size_t rank_for(
    const std::string& key,
    const core::host_name& self,
    const std::vector<member>& members)
{
    const std::uint64_t own = core::rendezvous_weight(key, self.value());
    bool listed = false;
    std::size_t rank = 0;
    for (const member& each : members) {
        listed |= each.host == self;
        if (each.host != self &&
            core::rendezvous_weight(key, each.host.value()) > own)
            ++rank;
    }
    return listed ? rank : members.size();
}

} // namespace godwit::catalogue
