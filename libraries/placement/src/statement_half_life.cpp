#include <godwit/placement/statement_half_life.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace godwit::placement {

namespace {

// Time after which an observation counts half, so that a machine whose
// neighbours on it left is trusted for longer again.
constexpr double memory_seconds = 10.0;
// Lower bound of the counted changes; without changes the half-life grows to
// its maximum.
constexpr double min_changes = 1e-3;

} // namespace

void statement_half_life::record(core::duration apart, bool has_changed)
{
    // Statements that are far apart do not show how many changes were missed.
    const double seconds = std::chrono::duration<double>(
                               std::clamp(apart, core::duration::zero(), max))
                               .count();
    const double kept = std::exp2(-seconds / memory_seconds);
    observed_seconds_ = observed_seconds_ * kept + seconds;
    changes_ = changes_ * kept + (has_changed ? 1.0 : 0.0);
}

// With changes at a constant rate, the probability that a statement still holds
// is one half after ln 2 times the mean time between changes.
core::duration statement_half_life::value() const
{
    const std::chrono::duration<double> learned(
        std::numbers::ln2 * observed_seconds_ /
        std::max(changes_, min_changes));
    return std::clamp(
        std::chrono::duration_cast<core::duration>(learned), min, max);
}

} // namespace godwit::placement
