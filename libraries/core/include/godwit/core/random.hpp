#pragma once

#include <cstdint>

namespace godwit::core {

/// A seeded random number generator with the same sequence on every machine
/// (splitmix64, Steele, Lea and Flood 2014). Not cryptographic.
class random
{
public:
    explicit random(std::uint64_t seed) noexcept : state_(seed) {}

    /// Returns 64 uniformly distributed bits.
    std::uint64_t next() noexcept;

    /// Returns a uniform integer from 0 to `bound` - 1; `bound` must be above
    /// zero.
    std::uint64_t below(std::uint64_t bound) noexcept;

    /// Returns a uniform number in [0, 1).
    double unit() noexcept;

private:
    std::uint64_t state_;
};

} // namespace godwit::core
