#include <godwit/delta/content_digest.hpp>

#include <openssl/sha.h>

namespace godwit::delta {

std::string content_digest(std::string_view text)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

} // namespace godwit::delta
