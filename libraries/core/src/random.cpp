#include <godwit/core/random.hpp>

#include <cassert>

namespace godwit::core {

std::uint64_t random::next() noexcept
{
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t random::below(std::uint64_t bound) noexcept
{
    assert(bound > 0);
    // Rejects values above the largest multiple of `bound`, which would make
    // some remainders more likely.
    const std::uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
    std::uint64_t value = next();
    while (value >= limit)
        value = next();
    return value % bound;
}

double random::unit() noexcept
{
    constexpr unsigned discarded_bits = 11;
    constexpr double scale = 0x1.0p-53;
    return static_cast<double>(next() >> discarded_bits) * scale;
}

} // namespace godwit::core
