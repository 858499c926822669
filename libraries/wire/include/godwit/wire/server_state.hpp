#pragma once

#include <cstdint>

namespace godwit::wire {

/// The state of a backend server.
enum class server_state : std::uint8_t
{
    live,    ///< It accepts new requests.
    leaving, ///< Draining: no new requests; running ones finish.
    failed,  ///< It failed lately and is being probed.
};

} // namespace godwit::wire
