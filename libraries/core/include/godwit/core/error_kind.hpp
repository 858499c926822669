#pragma once

#include <string_view>

namespace godwit::core {

/// The kind of an error, for callers that handle kinds differently.
enum class error_kind
{
    invalid_input, ///< The input breaks a rule; the sender must change it.
    not_found,     ///< The named thing does not exist.
    conflict,      ///< A concurrent change came first.
    unauthorised,  ///< The sender lacks the permission.
    unavailable,   ///< A peer, the platform or a server cannot be reached.
    timeout,       ///< No response in time; the effect is unknown.
    protocol,      ///< The peer violated the protocol.
    exhausted,     ///< A limit was reached.
    expired,       ///< It was valid, but its time is over.
};

/// Returns the name of `kind` for logs and responses.
[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

} // namespace godwit::core
