#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/peer_role.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The first message in each direction of a link.
struct hello
{
    /// The sender's `protocol_version`.
    std::uint32_t version = 0;
    peer_role role = peer_role::tool;
    core::host_name host;
    core::zone_name zone;
    core::incarnation_id incarnation;
    /// Address of the sender for other processes, as "IP:port": of a proxy the
    /// one for callers, of an agent the one for links. May be empty.
    std::string address;
    /// Number of message kinds that the sender can read; 0 from releases that
    /// do not send this field.
    std::uint32_t message_kinds = 0;
    /// Where the sender opens tunnels to backend servers, as "IP:port"; empty
    /// if it opens none.
    std::string tunnel_address = {};

    friend bool operator==(const hello&, const hello&) = default;
};

} // namespace godwit::wire
