#pragma once

#include <cstdint>

namespace godwit::core {

/// A seeded generator whose sequence is the same on every machine
/// (splitmix64, Steele, Lea and Flood 2014). Not for secrets.
class random
{
public:
    explicit random(std::uint64_t seed) noexcept : state_(seed) {}

    /// The next 64 uniform bits.
    std::uint64_t next() noexcept;

    /// A uniform number below `bound`; `bound` must be above zero.
    std::uint64_t below(std::uint64_t bound) noexcept;

    /// A uniform number in [0, 1).
    double unit() noexcept;

private:
    std::uint64_t state_;
};

} // namespace godwit::core
