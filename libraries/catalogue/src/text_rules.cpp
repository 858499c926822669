#include "text_rules.hpp"

#include <godwit/catalogue/limits.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace {

bool is_digit(char byte) noexcept
{
    return byte >= '0' && byte <= '9';
}

bool is_name_byte(char byte) noexcept
{
    const bool is_letter =
        (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return is_letter || is_digit(byte) || byte == '.' || byte == '_' ||
           byte == '-' || byte == '@';
}

} // namespace

bool is_valid_name(std::string_view text) noexcept
{
    if (text.empty() || text.size() > maximum_name_bytes)
        return false;
    return std::all_of(text.begin(), text.end(), is_name_byte);
}

bool is_sha256_digits(std::string_view text) noexcept
{
    constexpr std::size_t digit_count = 64;
    const auto is_hexadecimal = [](char byte) {
        return is_digit(byte) || (byte >= 'a' && byte <= 'f');
    };
    return text.size() == digit_count &&
           std::all_of(text.begin(), text.end(), is_hexadecimal);
}

} // namespace godwit::catalogue
