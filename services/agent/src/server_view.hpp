#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/platform/host_list.hpp>
#include <godwit/wire/backend_servers.hpp>

#include <cstdint>
#include <map>
#include <utility>

namespace godwit::agent {

/// The backend servers of the host list, as the proxy gets them, and how many
/// entry hosts send to them: whole once, then what changed. A list that cannot
/// be read changes nothing.
class server_view
{
public:
    /// `own_host` counts as an entry host while it is not listed.
    explicit server_view(core::host_name own_host)
        : own_host_(std::move(own_host))
    {}

    /// Takes a host list that was read. What changed; empty if nothing did.
    [[nodiscard]] wire::backend_servers update(const platform::host_list& list);

    /// The whole view.
    [[nodiscard]] wire::backend_servers whole() const;

    /// Whether a list was ever read.
    [[nodiscard]] bool known() const noexcept { return known_; }

    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

    /// Live entry hosts of the last list that had one; 0 before the first.
    [[nodiscard]] std::uint32_t entry_hosts() const noexcept
    {
        return entry_hosts_;
    }

private:
    [[nodiscard]] std::uint32_t
    count_entry_hosts(const platform::host_list& list) const;

    core::host_name own_host_;
    std::uint32_t entry_hosts_ = 0;
    std::map<core::server_address, wire::backend_server> servers_;
    bool known_ = false;
};

} // namespace godwit::agent
