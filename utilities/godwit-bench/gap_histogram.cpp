#include "gap_histogram.hpp"

#include <algorithm>
#include <chrono>

namespace godwit::bench {

namespace {

constexpr std::size_t fine_bins = 1000;
constexpr std::size_t coarse_bins = 6000;
constexpr std::int64_t fine_width_us = 500;
constexpr std::int64_t coarse_width_us = 100000;
constexpr std::int64_t fine_end_us = 500000;

} // namespace

gap_histogram::gap_histogram() : bins_(fine_bins + coarse_bins) {}

void gap_histogram::add(core::duration gap, std::size_t count)
{
    const std::int64_t us = gap.count();
    std::size_t bin = 0;
    if (us < fine_end_us)
        bin = static_cast<std::size_t>(us / fine_width_us);
    else
        bin = fine_bins +
              static_cast<std::size_t>((us - fine_end_us) / coarse_width_us);
    bins_[std::min(bin, bins_.size() - 1)] += count;
    total_ += count;
}

double gap_histogram::quantile(double quantile) const
{
    const auto wanted =
        static_cast<std::uint64_t>(quantile * static_cast<double>(total_));
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < bins_.size(); ++bin) {
        seen += bins_[bin];
        if (seen <= wanted)
            continue;
        const auto upper =
            bin < fine_bins
                ? static_cast<std::int64_t>(bin + 1) * fine_width_us
                : fine_end_us + static_cast<std::int64_t>(bin - fine_bins + 1) *
                                    coarse_width_us;
        return static_cast<double>(upper) / 1000.0;
    }
    return 0.0;
}

} // namespace godwit::bench
