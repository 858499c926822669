#pragma once

#include <string_view>

namespace godwit::membership {

/// The state of a backend server as this host tracks it.
enum class server_state
{
    live,    ///< Eligible.
    suspect, ///< Failed lately; eligible, but others are preferred.
    ejected, ///< Not eligible for a time; then a probe must pass.
    leaving, ///< Draining: not eligible; running requests may finish.
    gone,    ///< Left: no longer listed, and not responding.
};

/// Returns the name of `value` for logs and state dumps.
[[nodiscard]] std::string_view to_string(server_state value) noexcept;

} // namespace godwit::membership
