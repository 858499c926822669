#pragma once

#include <string_view>

namespace godwit::core {

/// What a caller is told about its request in the end.
enum class outcome
{
    completed,   ///< The whole answer was delivered.
    not_run,     ///< The request certainly did not run.
    interrupted, ///< It ran, and part of the answer is missing.
    unknown,     ///< It may or may not have run.
};

/// The name of `value` as it appears in answers and logs.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

} // namespace godwit::core
