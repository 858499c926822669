#pragma once

#include <cstdint>

namespace godwit::wire {

/// A sign about a backend server, by any route.
enum class sign_kind : std::uint8_t
{
    leaving,   ///< It said that it leaves, or the host list does.
    failed,    ///< Connections to it were refused or timed out.
    recovered, ///< It answered again after it had failed.
};

} // namespace godwit::wire
