#include "token_mac.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace godwit::request {

std::optional<std::string>
mac_of(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, mac_length> mac{};
    unsigned int length = 0;
    const unsigned char* done = HMAC(
        EVP_sha256(),
        secret.data(),
        static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        mac.data(),
        &length);
    if (done == nullptr || length != mac_length)
        return std::nullopt;
    return std::string(mac.begin(), mac.end());
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace godwit::request
