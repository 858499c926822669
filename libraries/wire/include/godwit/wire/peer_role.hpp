#pragma once

#include <cstdint>

namespace godwit::wire {

/// The kind of process that a peer is.
enum class peer_role : std::uint8_t
{
    agent, ///< The agent of an entry host.
    proxy, ///< A proxy, linked to the agent of its host.
    tool,  ///< An operator's tool or a test.
    entry, ///< An entry host that runs as a single process.
};

} // namespace godwit::wire
