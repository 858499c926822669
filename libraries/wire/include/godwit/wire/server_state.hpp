#pragma once

#include <cstdint>

namespace godwit::wire {

/// What is known of a backend server.
enum class server_state : std::uint8_t
{
    live,    ///< It takes new work.
    leaving, ///< It gets nothing new; running work finishes.
    failed,  ///< It was seen to fail and is on trial.
};

} // namespace godwit::wire
