#include <godwit/admission/reading_pace.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::admission {

namespace {

// Of the newest observation: some twenty requests make the estimate.
constexpr double newest_weight = 0.05;
// What the first event takes beside reading would hide the pace of shorter
// prompts.
constexpr std::uint64_t fewest_tokens = 500;

} // namespace

void reading_pace::observed(std::uint64_t tokens, core::duration took)
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(took).count();
    if (tokens < fewest_tokens || milliseconds <= 0)
        return;
    const double seen = std::clamp(
        static_cast<double>(tokens) / milliseconds, slowest, fastest);
    pace_ += newest_weight * (seen - pace_);
}

} // namespace godwit::admission
