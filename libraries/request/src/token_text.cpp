#include "token_text.hpp"

#include <cstdint>

namespace godwit::request {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "abcdefghijklmnopqrstuvwxyz"
                                      "0123456789-_";
constexpr unsigned bits_per_letter = 6;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned letter_mask = 0x3f;
constexpr unsigned byte_mask = 0xff;

} // namespace

std::string to_base64url(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * bits_per_byte / bits_per_letter + 1);
    std::uint32_t buffer = 0;
    unsigned held = 0;
    for (const char byte : bytes) {
        buffer = (buffer << bits_per_byte) | static_cast<unsigned char>(byte);
        held += bits_per_byte;
        while (held >= bits_per_letter) {
            held -= bits_per_letter;
            text.push_back(alphabet[(buffer >> held) & letter_mask]);
        }
    }
    if (held > 0) {
        text.push_back(
            alphabet[(buffer << (bits_per_letter - held)) & letter_mask]);
    }
    return text;
}

std::optional<std::string> from_base64url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    std::uint32_t buffer = 0;
    unsigned held = 0;
    for (const char letter : text) {
        const auto value = alphabet.find(letter);
        if (value == std::string_view::npos)
            return std::nullopt;
        buffer =
            (buffer << bits_per_letter) | static_cast<std::uint32_t>(value);
        held += bits_per_letter;
        if (held < bits_per_byte)
            continue;
        held -= bits_per_byte;
        bytes.push_back(static_cast<char>((buffer >> held) & byte_mask));
    }
    // A whole letter left over, or bits set in the rest, is no encoding.
    const bool rest_is_zero = (buffer & ((1U << held) - 1U)) == 0;
    if (held >= bits_per_letter || !rest_is_zero)
        return std::nullopt;
    return bytes;
}

} // namespace godwit::request
