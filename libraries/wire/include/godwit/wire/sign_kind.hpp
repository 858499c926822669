#pragma once

#include <cstdint>

namespace godwit::wire {

/// The kind of a notice about a backend server, from whichever source.
enum class sign_kind : std::uint8_t
{
    leaving,   ///< It drains, as reported by itself or the host list.
    failed,    ///< Connections to it were refused or timed out.
    recovered, ///< It responds again after a failure.
};

} // namespace godwit::wire
