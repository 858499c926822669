#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::bench {

/// Gaps between tokens, in bins of 0.5 ms up to 500 ms and 100 ms beyond.
class gap_histogram
{
public:
    gap_histogram();

    void add(core::duration gap, std::size_t count);

    /// The gap in milliseconds that `quantile` of all stay below.
    [[nodiscard]] double quantile(double quantile) const;

private:
    std::vector<std::uint64_t> bins_;
    std::uint64_t total_ = 0;
};

} // namespace godwit::bench
