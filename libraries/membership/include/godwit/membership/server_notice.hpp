#pragma once

#include <string_view>

namespace godwit::membership {

/// What one host can tell others about a backend server.
enum class server_notice
{
    leaving, ///< It is leaving: give it nothing new.
    suspect, ///< It refused a connection: look for yourself.
};

/// The name of `value` as it appears in logs.
[[nodiscard]] std::string_view to_string(server_notice value) noexcept;

} // namespace godwit::membership
