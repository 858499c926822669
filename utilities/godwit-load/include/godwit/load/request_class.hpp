#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace godwit::load {

/// The classes of requests that a run mixes.
enum class request_class
{
    long_stream,  ///< A streamed generation of unknown length.
    short_whole,  ///< A short completion as one answer.
    confirmation, ///< A repeatable call to the plain service.
    booking,      ///< A call that may not be repeated, with a key.
};

/// Every class, in the order of the reports.
inline constexpr std::array all_classes{
    request_class::long_stream,
    request_class::short_whole,
    request_class::confirmation,
    request_class::booking};

/// The name of a class in reports.
[[nodiscard]] std::string_view to_string(request_class value) noexcept;

/// The place of a class in `all_classes`.
[[nodiscard]] constexpr std::size_t index_of(request_class value) noexcept
{
    return static_cast<std::size_t>(value);
}

} // namespace godwit::load
