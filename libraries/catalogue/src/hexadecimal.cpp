#include "hexadecimal.hpp"

#include <charconv>

namespace godwit::catalogue {

namespace {

constexpr std::size_t digit_count = 16;
constexpr int base = 16;

} // namespace

std::string to_hexadecimal(std::uint64_t value)
{
    std::string digits(digit_count, '0');
    for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit) {
        *digit = "0123456789abcdef"[value % base];
        value /= base;
    }
    return digits;
}

std::optional<std::uint64_t> from_hexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    if (text.size() != digit_count || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace godwit::catalogue
