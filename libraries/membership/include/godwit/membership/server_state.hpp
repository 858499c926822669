#pragma once

#include <string_view>

namespace godwit::membership {

/// What this host believes of one backend server.
enum class server_state
{
    live,    ///< Eligible.
    suspect, ///< Failed lately; eligible, but others are better.
    ejected, ///< Not eligible for a while; probed before it comes back.
    leaving, ///< Not eligible; what runs on it may end.
    gone,    ///< Not listed any more and not answering.
};

/// The name of `value` as it appears in logs and dumps.
[[nodiscard]] std::string_view to_string(server_state value) noexcept;

} // namespace godwit::membership
