#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/routing/zone_regions.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// A neighbour that opens tunnels to backend servers.
struct tunnel_proxy
{
    core::host_name host;
    core::zone_name zone;
    http::endpoint address;

    friend bool operator==(const tunnel_proxy&, const tunnel_proxy&) = default;
};

/// Chooses the neighbours through which a host reaches backend servers.
class tunnel_proxy_selector
{
public:
    /// Time for which a neighbour that opened no tunnel is passed over.
    static constexpr core::duration unusable_duration =
        std::chrono::milliseconds(500);

    /// `zone` is that of this host.
    tunnel_proxy_selector(core::zone_name zone, std::uint64_t seed);

    /// Returns one of the neighbours for a connection to a server of this zone,
    /// or nothing if all are passed over. What is sent passes through no region
    /// but those of this host and of the server.
    [[nodiscard]] std::optional<tunnel_proxy> choose(
        const std::vector<tunnel_proxy>& neighbours,
        const core::zone_name& server_zone,
        const routing::zone_regions& regions,
        core::time_point now);

    /// Records that the neighbour opened no tunnel.
    void record_unusable(const core::host_name& host, core::time_point now);

private:
    core::zone_name zone_;
    core::random random_;
    std::map<core::host_name, core::time_point> unusable_until_;
};

} // namespace godwit::placement
