#include <godwit/rollout/exposure_plan.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::rollout {

namespace {

// The parts of the permitted exposure that the comparison and the final phase
// use. What is left covers requests that come unevenly over time and hosts that
// learn of the order later than others.
constexpr double observation_part = 0.3;
constexpr double final_part = 0.45;

} // namespace

exposure_plan::exposure_plan(
    core::duration duration, double max_exposure) noexcept
    : observed_share_(observation_part * std::clamp(max_exposure, 0.0, 1.0)),
      final_from_(std::chrono::duration_cast<core::duration>(
          std::max(duration, core::duration::zero()) *
          (1.0 - final_part * std::clamp(max_exposure, 0.0, 1.0))))
{}

double exposure_plan::share_at(core::duration elapsed) const noexcept
{
    return is_final(elapsed) ? 1.0 : observed_share_;
}

} // namespace godwit::rollout
