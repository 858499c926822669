#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <map>
#include <vector>

namespace godwit::entry {

/// The network links of backend servers, unlike the links between two entry
/// hosts, that other hosts have claimed for their migrations. A generation that
/// is paused for the last copy of its migration must not wait behind a full
/// copy that another host starts, because its caller notices the pause.
class link_claims
{
public:
    /// Sets the servers whose network links `host` needs until `until`;
    /// replaces the earlier claim of `host`.
    void update(
        const core::host_name& host,
        std::vector<placement::server_id> servers,
        core::time_point until);

    /// Returns whether another host has claimed the network link of one of
    /// these servers at `now`.
    [[nodiscard]] bool is_claimed(
        const std::vector<placement::server_id>& servers,
        core::time_point now) const;

private:
    struct claim
    {
        std::vector<placement::server_id> servers;
        core::time_point until;
    };

    std::map<core::host_name, claim> claims_;
};

} // namespace godwit::entry
