#include <godwit/core/hash.hpp>

namespace godwit::core {

namespace {

// FNV-1a mixes the high bits poorly, and rendezvous hashing compares those
// first; the finaliser mixes them.
std::uint64_t finalise(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) noexcept
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    std::uint64_t hash = offset_basis ^ finalise(seed);
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= prime;
    }
    return finalise(hash);
}

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view node) noexcept
{
    return stable_hash(node, stable_hash(key));
}

} // namespace godwit::core
