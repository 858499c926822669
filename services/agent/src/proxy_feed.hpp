#pragma once

#include "catalogue_history.hpp"
#include "proxy_position.hpp"
#include "server_view.hpp"

#include <godwit/catalogue/state.hpp>
#include <godwit/wire/catalogue_position.hpp>
#include <godwit/wire/link.hpp>
#include <godwit/wire/server_sign.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace godwit::agent {

/// Keeps the proxies of this host up to date: the catalogue, as a snapshot
/// first and changes from then on, and the backend servers. A proxy is never
/// sent an older catalogue than it has. Called on the control thread only.
class proxy_feed
{
public:
    using link_pointer = std::shared_ptr<wire::link>;

    /// The feed of the agent on `own_host`.
    explicit proxy_feed(core::host_name own_host)
        : servers_(std::move(own_host))
    {}

    void opened(const link_pointer& link);
    void closed(const link_pointer& link);

    /// A proxy says what it has in force.
    void
    received(const link_pointer& link, const wire::catalogue_position& value);

    /// The newest catalogue; `records` were offered and led to it from the
    /// offset `before`.
    void publish(
        catalogue::state_pointer content,
        const std::vector<catalogue::record>& records,
        std::uint64_t before);

    /// A host list was read.
    void update_servers(const platform::host_list& list);

    /// Sends to every proxy.
    void broadcast(const wire::message& value);

    /// The least offset in force at a proxy; none while there is no proxy or
    /// one that has not said.
    [[nodiscard]] std::optional<std::uint64_t> in_force() const;

    [[nodiscard]] const std::map<link_pointer, proxy_position>&
    proxies() const noexcept
    {
        return proxies_;
    }

    [[nodiscard]] const server_view& servers() const noexcept
    {
        return servers_;
    }

private:
    void bring_up_to_date(const link_pointer& link, proxy_position& position);
    void send_snapshot(const link_pointer& link, proxy_position& position);
    [[nodiscard]] std::vector<link_pointer> links() const;

    std::map<link_pointer, proxy_position> proxies_;
    catalogue::state_pointer content_;
    catalogue_history history_;
    server_view servers_;
};

} // namespace godwit::agent
