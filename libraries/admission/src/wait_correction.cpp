#include <godwit/admission/wait_correction.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace godwit::admission {

namespace {

// Weight of one observation: about the last thirty count.
constexpr double weight = 0.03;
// Waits below this depend on when a server reports its end rather than on the
// queue, so that they say nothing about the start rate.
constexpr core::duration min_wait = std::chrono::milliseconds(100);
// One stream cannot change the factor by more than a few percent.
constexpr double max_ratio = 2;

} // namespace

void wait_correction::record(core::duration predicted, core::duration observed)
{
    if (predicted < min_wait)
        return;
    const double ratio = std::clamp(
        std::chrono::duration<double>(observed) /
            std::chrono::duration<double>(predicted),
        1 / max_ratio,
        max_ratio);
    factor_ = std::clamp(
        factor_ * (1 + weight * (ratio - 1)), min_factor, max_factor);
    error_ += weight * (std::abs(ratio - 1) - error_);
}

double wait_correction::margin() const noexcept
{
    return std::clamp(error_, min_margin, max_margin);
}

} // namespace godwit::admission
