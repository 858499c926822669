#include <godwit/entry/link_claims.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

void link_claims::update(
    const core::host_name& host,
    std::vector<placement::server_id> servers,
    core::time_point until)
{
    claims_.insert_or_assign(host, claim{std::move(servers), until});
}

bool link_claims::is_claimed(
    const std::vector<placement::server_id>& servers,
    core::time_point now) const
{
    return std::any_of(
        claims_.begin(), claims_.end(), [&servers, now](const auto& held) {
            return now < held.second.until &&
                   std::find_first_of(
                       servers.begin(),
                       servers.end(),
                       held.second.servers.begin(),
                       held.second.servers.end()) != servers.end();
        });
}

} // namespace godwit::entry
