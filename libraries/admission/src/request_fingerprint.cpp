#include <godwit/admission/request_fingerprint.hpp>

#include <godwit/delta/content_digest.hpp>

#include <cstddef>
#include <string>

namespace godwit::admission {

namespace {

// 128 bits of the digest make accidental collisions negligible.
constexpr std::size_t fingerprint_bytes = 16;

std::string to_hexadecimal(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_nibble_mask = 0x0fU;
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4U];
        text += digits[value & low_nibble_mask];
    }
    return text;
}

request_fingerprint to_fingerprint(std::string_view digest)
{
    return request_fingerprint(
        to_hexadecimal(digest.substr(0, fingerprint_bytes)));
}

} // namespace

request_fingerprint fingerprint_of(const request_content& content)
{
    // Hashing each part to a fixed length keeps requests that differ only in
    // where one part ends and the next begins from colliding.
    std::string part_digests;
    for (const std::string_view part :
         {std::string_view(content.organisation.value()),
          content.method,
          content.host,
          content.target,
          content.body})
        part_digests += delta::content_digest(part);
    return to_fingerprint(delta::content_digest(part_digests));
}

request_fingerprint fingerprint_of_prompt_part(std::string_view id)
{
    return to_fingerprint(
        delta::content_digest("prompt part:" + std::string(id)));
}

} // namespace godwit::admission
