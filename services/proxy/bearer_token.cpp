#include "bearer_token.hpp"

#include <openssl/evp.h>

#include <array>

namespace godwit::proxy {

core::result<std::string> bearer_token_hash(std::string_view token)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    const int done = EVP_Digest(
        token.data(),
        token.size(),
        digest.data(),
        &length,
        EVP_sha256(),
        nullptr);
    if (done != 1)
        return core::fail(
            core::error_kind::unavailable,
            "the digest of the bearer token failed",
            "try again; the host may be out of memory");
    std::string text;
    for (unsigned int index = 0; index < length; ++index) {
        text += digits[digest.at(index) >> 4U];
        text += digits[digest.at(index) & 0xfU];
    }
    return text;
}

} // namespace godwit::proxy
