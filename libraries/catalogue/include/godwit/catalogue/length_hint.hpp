#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// What is known beforehand of the answers of a class.
enum class length_hint : std::uint8_t
{
    unknown,
    short_answers,
    long_answers,
};

/// The name of `hint` in files and records: "unknown", "short" or "long".
[[nodiscard]] std::string_view to_string(length_hint hint) noexcept;

} // namespace godwit::catalogue
