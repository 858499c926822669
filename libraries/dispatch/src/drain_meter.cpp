#include "drain_meter.hpp"

#include <chrono>
#include <cmath>

namespace godwit::dispatch {

namespace {

constexpr double window_seconds = 10.0;
constexpr double least_seconds = 0.5;

} // namespace

void drain_meter::advance(core::time_point now, bool backlogged) noexcept
{
    const double elapsed = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    if (!backlogged || elapsed <= 0.0)
        return;
    const double kept = std::exp(-elapsed / window_seconds);
    started_ *= kept;
    seconds_ = seconds_ * kept + elapsed;
}

std::optional<double> drain_meter::rate() const noexcept
{
    if (seconds_ < least_seconds)
        return std::nullopt;
    return started_ / seconds_;
}

} // namespace godwit::dispatch
