#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <map>
#include <vector>

namespace godwit::entry {

/// Which backend servers' links other hosts need for themselves now. A
/// generation that has stopped for its last copy must not wait behind a
/// whole copy that another host begins: callers notice the pause.
class link_claims
{
public:
    /// `host` needs the links until `until`; replaces its earlier claim.
    void update(
        const core::host_name& host,
        std::vector<placement::server_id> servers,
        core::time_point until);

    /// Whether another host needs one of the links now.
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
