#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/platform/host_entry.hpp>
#include <godwit/settings/address.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace godwit::agent {

/// The settings' address as the network takes it. Fails with `invalid_input`.
[[nodiscard]] core::result<boost::asio::ip::tcp::endpoint>
to_endpoint(const settings::address& address);

/// Where another agent takes frames.
struct peer_address
{
    /// The address that the host list gives for the agent of `host`. Fails
    /// with `invalid_input`.
    [[nodiscard]] static core::result<peer_address>
    of(const platform::host_entry& host);

    core::host_name host;
    boost::asio::ip::tcp::endpoint endpoint;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

} // namespace godwit::agent
