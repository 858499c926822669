#pragma once

#include <string_view>

namespace godwit::platform {

/// What a failed append left behind on the log.
enum class append_failure_kind
{
    effect_unknown, ///< Sent, no usable answer: read the log to find out.
    rate_limited,   ///< Not done: the log's or this host's rate is used up.
    unavailable,    ///< Not done: an outage, or no connection.
    rejected,       ///< Not done: the log does not take this record at all.
};

/// The name of `kind` as it appears in logs.
[[nodiscard]] std::string_view to_string(append_failure_kind kind) noexcept;

} // namespace godwit::platform
