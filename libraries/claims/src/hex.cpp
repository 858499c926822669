#include "hex.hpp"

namespace godwit::claims {

namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;
constexpr std::uint64_t digit_mask = 0xf;

} // namespace

std::string to_hex(std::uint64_t value)
{
    std::string text(hex_width, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place) {
        *place = digits[value & digit_mask];
        value >>= bits_per_digit;
    }
    return text;
}

std::optional<std::uint64_t> from_hex(std::string_view text)
{
    if (text.size() != hex_width)
        return std::nullopt;
    std::uint64_t value = 0;
    for (const char character : text) {
        const auto digit = digits.find(character);
        if (digit == std::string_view::npos)
            return std::nullopt;
        value = (value << bits_per_digit) | digit;
    }
    return value;
}

} // namespace godwit::claims
