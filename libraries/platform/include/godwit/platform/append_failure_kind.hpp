#pragma once

#include <string_view>

namespace godwit::platform {

/// Why an append failed, and whether the record may be in the log.
enum class append_failure_kind
{
    effect_unknown, ///< Sent, no valid response: read the log to find out.
    rate_limited,   ///< Not appended: over the log's or this host's rate.
    unavailable,    ///< Not appended: an outage, or no connection.
    rejected,       ///< Not appended: the log never accepts this record.
};

/// Returns the name of `kind` for logs.
[[nodiscard]] std::string_view to_string(append_failure_kind kind) noexcept;

} // namespace godwit::platform
