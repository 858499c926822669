#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/listed_server.hpp>
#include <godwit/wire/backend_servers.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace godwit::proxy {

/// The backend servers as the agent tells of them, change by change.
class server_list
{
public:
    /// Takes a whole view or a change to it. At `limit` servers no further
    /// one is taken.
    void apply(const wire::backend_servers& change);

    /// Every server.
    [[nodiscard]] std::vector<membership::listed_server> all() const;

    /// The same bound as membership's own.
    static constexpr std::size_t limit = 4096;

private:
    std::map<core::server_address, membership::listed_server> servers_;
};

} // namespace godwit::proxy
