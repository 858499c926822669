#pragma once

#include <string_view>

namespace godwit::membership {

/// A notice that hosts send each other about a backend server.
enum class server_notice
{
    leaving, ///< It is draining: it must get no new requests.
    suspect, ///< It refused a connection: the receiver should probe it.
};

/// Returns the name of `value` for logs.
[[nodiscard]] std::string_view to_string(server_notice value) noexcept;

} // namespace godwit::membership
