#include "placement.hpp"

#include "admission.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace godwit::dispatch {

namespace {

// How much fuller a server may be and still be preferred because it owns
// the prefix, or is known to hold it. This is what bounds the affinity.
constexpr double owner_bonus = 0.05;
constexpr double holder_bonus = 0.20;

std::uint64_t prefix_weight(std::uint64_t prefix, const server_account& server)
{
    return core::random(prefix ^ server.address_hash).next();
}

} // namespace

placement::placement(std::uint64_t seed, std::uint32_t candidates)
    : random_(seed), candidates_(candidates)
{}

std::optional<placement_choice> placement::choose(
    const service_queue& service,
    const tracked_request& request,
    core::time_point now)
{
    const std::size_t own = service.own_zone_servers;
    const std::size_t all = service.servers.size();
    if (const auto best = best_of(service, request, 0, own, now)) {
        return placement_choice{
            .server = best->server,
            .reason = best->prefix ? placement_reason::prefix
                                   : placement_reason::least_load};
    }
    if (const auto best = best_of(service, request, own, all, now)) {
        return placement_choice{
            .server = best->server, .reason = placement_reason::other_zone};
    }
    return std::nullopt;
}

void placement::shuffle_some(std::size_t first, std::size_t last)
{
    order_.resize(last - first);
    std::iota(order_.begin(), order_.end(), first);
    for (std::size_t index = 0; index + 1 < order_.size(); ++index) {
        const auto rest = order_.size() - index;
        std::swap(order_[index], order_[index + random_.below(rest)]);
    }
}

std::optional<placement::scored> placement::best_of(
    const service_queue& service,
    const tracked_request& request,
    std::size_t first,
    std::size_t last,
    core::time_point now)
{
    if (first == last)
        return std::nullopt;
    const std::uint64_t prefix = request.arrival.prefix_hash;
    const server_account* owner = nullptr;
    if (prefix != 0) {
        const auto begin = service.servers.begin();
        owner = *std::max_element(
            begin + static_cast<std::ptrdiff_t>(first),
            begin + static_cast<std::ptrdiff_t>(last),
            [&](const server_account* left, const server_account* right) {
                return prefix_weight(prefix, *left) <
                       prefix_weight(prefix, *right);
            });
    }
    shuffle_some(first, last);
    std::optional<scored> best;
    std::uint32_t admitted = 0;
    for (const std::size_t index : order_) {
        server_account& server = *service.servers[index];
        // All are asked until enough have room: a subset of servers is a
        // few tens at most, and one with room is always found.
        const bool owns = owner != nullptr && owner == &server;
        const bool candidate = admitted < candidates_ || owns;
        if (!candidate || !admits(service, server, request, now))
            continue;
        ++admitted;
        const double known =
            prefix == 0 ? 0.0 : server.prefixes.confidence(prefix);
        const double bonus =
            std::max(owns ? owner_bonus : 0.0, known * holder_bonus);
        const double score = occupancy(service, server) - bonus;
        if (!best || score < best->score) {
            best = scored{
                .server = &server, .score = score, .prefix = bonus > 0.0};
        }
    }
    return best;
}

} // namespace godwit::dispatch
