#pragma once

#include <godwit/core/identifiers.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace godwit::agent {

/// Where another agent takes frames.
struct peer_address
{
    core::host_name host;
    boost::asio::ip::tcp::endpoint endpoint;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

} // namespace godwit::agent
