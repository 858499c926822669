#pragma once

#include <godwit/platform/host_list.hpp>
#include <godwit/wire/backend_servers.hpp>

#include <map>

namespace godwit::agent {

/// The backend servers of the host list, as the proxy gets them: whole once,
/// then what changed. A list that cannot be read changes nothing.
class server_view
{
public:
    /// Takes a host list that was read. What changed; empty if nothing did.
    [[nodiscard]] wire::backend_servers update(const platform::host_list& list);

    /// The whole view.
    [[nodiscard]] wire::backend_servers whole() const;

    /// Whether a list was ever read.
    [[nodiscard]] bool known() const noexcept { return known_; }

    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

private:
    std::map<core::server_address, wire::backend_server> servers_;
    bool known_ = false;
};

} // namespace godwit::agent
