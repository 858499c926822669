#include <godwit/admission/engine_speeds.hpp>

#include <cmath>

namespace godwit::admission {

namespace {

// Bounds of what another host may report.
constexpr double max_value = 1e6;
constexpr std::uint32_t max_observations = 1000;

bool is_valid(const observed_median& median)
{
    if (median.observations == 0)
        return median.value == 0;
    return median.observations <= max_observations &&
           std::isfinite(median.value) && median.value > 0 &&
           median.value <= max_value;
}

} // namespace

core::result<engine_speeds> engine_speeds::create(
    const observed_median& prefill_tokens_per_ms,
    const observed_median& step_ms)
{
    if (!is_valid(prefill_tokens_per_ms) || !is_valid(step_ms))
        return core::fail(
            core::error_kind::protocol,
            "engine speeds from a neighbour have a value out of range",
            "check that the neighbour runs this release");
    engine_speeds speeds;
    speeds.prefill_tokens_per_ms = prefill_tokens_per_ms;
    speeds.step_ms = step_ms;
    return speeds;
}

} // namespace godwit::admission
