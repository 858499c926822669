#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::load {

/// Durations of any number in bounded memory, for percentiles exact to
/// within about 1.6 percent: buckets of equal width within each power of
/// two of microseconds.
class sample_set
{
public:
    sample_set();

    void add(core::duration sample);

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    [[nodiscard]] core::duration longest() const noexcept { return longest_; }

    /// The duration that `percent` of the samples do not exceed, as the
    /// upper end of its bucket; zero without samples.
    [[nodiscard]] core::duration percentile(double percent) const;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    core::duration longest_{};
};

} // namespace godwit::load
