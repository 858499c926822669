#include <godwit/delta/content_digest.hpp>

#include <openssl/sha.h>

#include <algorithm>

namespace godwit::delta {

namespace {

constexpr std::size_t named_bytes = 4;
constexpr unsigned half_byte_bits = 4;
constexpr unsigned half_byte_mask = 0xf;

} // namespace

content_digest content_digest::of(std::string_view text)
{
    content_digest made;
    static_assert(size == SHA256_DIGEST_LENGTH);
    SHA256(
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        made.bytes_.data());
    return made;
}

std::optional<content_digest> content_digest::from_bytes(std::string_view bytes)
{
    if (bytes.size() != size)
        return std::nullopt;
    content_digest made;
    std::copy(bytes.begin(), bytes.end(), made.bytes_.begin());
    return made;
}

std::string content_digest::bytes() const
{
    return {bytes_.begin(), bytes_.end()};
}

std::string content_digest::short_name() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string name;
    for (std::size_t at = 0; at < named_bytes; ++at) {
        name += digits[bytes_.at(at) >> half_byte_bits];
        name += digits[bytes_.at(at) & half_byte_mask];
    }
    return name;
}

} // namespace godwit::delta
