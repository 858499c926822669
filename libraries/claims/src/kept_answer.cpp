#include <godwit/claims/kept_answer.hpp>

#include <godwit/core/hash.hpp>

namespace godwit::claims {

std::uint64_t kept_answer::digest() const noexcept
{
    return core::stable_hash(body, core::stable_hash(content_type, status));
}

std::size_t kept_answer::size() const noexcept
{
    return sizeof(kept_answer) + content_type.size() + body.size();
}

} // namespace godwit::claims
