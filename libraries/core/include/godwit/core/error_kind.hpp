#pragma once

#include <string_view>

namespace godwit::core {

/// The class of a failure, so that callers branch on it without reading text.
enum class error_kind
{
    invalid_input, ///< The input breaks a rule; the sender must change it.
    not_found,     ///< The named thing does not exist.
    conflict,      ///< Somebody else's change came first.
    unauthorised,  ///< The sender may not do this.
    unavailable,   ///< A peer, the platform or a server cannot be reached.
    timeout,       ///< No answer in time; the effect is not known.
    protocol,      ///< The peer sent what its protocol does not allow.
    exhausted,     ///< A stated bound was reached.
    expired,       ///< The thing was valid once and is no more.
};

/// The name of `kind` as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

} // namespace godwit::core
