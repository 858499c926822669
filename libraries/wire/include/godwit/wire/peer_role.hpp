#pragma once

#include <cstdint>

namespace godwit::wire {

/// What the process at the other end of a link is.
enum class peer_role : std::uint8_t
{
    agent, ///< An agent of an entry host.
    proxy, ///< A proxy, at its own agent.
    tool,  ///< A program of an operator or a test.
    entry, ///< An entry host of one process.
};

} // namespace godwit::wire
