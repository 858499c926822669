#pragma once

#include <string_view>

namespace godwit::core {

/// The final outcome of a request, as reported to its caller.
enum class outcome
{
    completed,   ///< The whole response was delivered.
    not_run,     ///< The request did not run.
    interrupted, ///< It ran, but part of the response is missing.
    unknown,     ///< It may or may not have run.
};

/// Returns the name of `value` for responses and logs.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

} // namespace godwit::core
