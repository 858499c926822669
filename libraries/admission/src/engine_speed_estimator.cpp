#include <godwit/admission/engine_speed_estimator.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace godwit::admission {

namespace {

// What is kept of one host's observations; more would not change the median.
constexpr std::size_t max_observations = 64;
// With fewer observations of all hosts the usual speed is assumed, so that one
// stalled stream decides nothing.
constexpr std::uint32_t min_observations = 5;
// Engines become slower and faster within seconds, and each stream shows their
// steps several times a second. Prompts are prefilled less often.
constexpr core::duration step_window = std::chrono::seconds(2);
constexpr core::duration prefill_window = std::chrono::seconds(10);
// Estimates are within this factor of the usual speeds, so that wrong
// observations can neither stop the placement nor flood an engine.
constexpr double max_factor = 4;
// The time for which memory is planned ahead.
constexpr double soon_ms = 2000;

double bounded(double value, double usual)
{
    return std::clamp(value, usual / max_factor, usual * max_factor);
}

/// Returns the median of values with weights; there has to be one.
double weighted_median(std::vector<observed_median> values)
{
    std::sort(
        values.begin(), values.end(), [](const auto& left, const auto& right) {
            return left.value < right.value;
        });
    std::uint64_t total = 0;
    for (const observed_median& each : values)
        total += each.observations;
    std::uint64_t below = 0;
    for (const observed_median& each : values) {
        below += each.observations;
        if (2 * below >= total)
            return each.value;
    }
    return values.back().value;
}

template<class Observations>
observed_median median_of(
    const Observations& observations,
    core::duration window,
    core::time_point now)
{
    std::vector<observed_median> recent;
    for (const auto& each : observations) {
        if (now - each.observed_at < window)
            recent.push_back({each.value, 1});
    }
    if (recent.empty())
        return {};
    const auto count = static_cast<std::uint32_t>(recent.size());
    return {weighted_median(std::move(recent)), count};
}

} // namespace

void engine_speed_estimator::add(
    std::deque<observation>& to, double value, core::time_point now)
{
    to.push_back({value, now});
    if (to.size() > max_observations)
        to.pop_front();
}

void engine_speed_estimator::record_first_event(
    std::uint64_t unread_tokens, core::duration elapsed, core::time_point now)
{
    if (unread_tokens == 0 || elapsed <= core::duration::zero())
        return;
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(elapsed).count();
    add(prefills_, static_cast<double>(unread_tokens) / elapsed_ms, now);
}

void engine_speed_estimator::record_step(double step_ms, core::time_point now)
{
    if (std::isfinite(step_ms) && step_ms > 0)
        add(steps_, step_ms, now);
}

void engine_speed_estimator::update_from_neighbour(
    const core::host_name& host,
    const engine_speeds& speeds,
    core::time_point now)
{
    std::erase_if(neighbours_, [now](const auto& each) {
        return now - each.second.received_at >= prefill_window;
    });
    const bool has_room =
        neighbours_.size() < max_neighbours || neighbours_.contains(host);
    if (has_room)
        neighbours_.insert_or_assign(host, report{speeds, now});
}

engine_speeds engine_speed_estimator::own(core::time_point now) const
{
    return {
        median_of(prefills_, prefill_window, now),
        median_of(steps_, step_window, now)};
}

// Returns 0 if too little is known.
double engine_speed_estimator::combined(
    const observed_median& own,
    observed_median engine_speeds::*kind,
    core::duration window,
    core::time_point now) const
{
    std::vector<observed_median> medians{own};
    for (const auto& [host, reported] : neighbours_) {
        if (now - reported.received_at < window)
            medians.push_back(reported.speeds.*kind);
    }
    std::uint64_t total = 0;
    for (const observed_median& each : medians)
        total += each.observations;
    std::erase_if(medians, [](const observed_median& each) {
        return each.observations == 0;
    });
    return total < min_observations ? 0 : weighted_median(std::move(medians));
}

double engine_speed_estimator::prefill_tokens_per_ms(core::time_point now) const
{
    constexpr double usual = engine_speeds::usual_prefill_tokens_per_ms;
    const double known = combined(
        median_of(prefills_, prefill_window, now),
        &engine_speeds::prefill_tokens_per_ms,
        prefill_window,
        now);
    return known > 0 ? bounded(known, usual) : usual;
}

double engine_speed_estimator::step_ms(core::time_point now) const
{
    constexpr double usual = engine_speeds::usual_step_ms;
    const double known = combined(
        median_of(steps_, step_window, now),
        &engine_speeds::step_ms,
        step_window,
        now);
    return known > 0 ? bounded(known, usual) : usual;
}

std::uint64_t engine_speed_estimator::soon_tokens(core::time_point now) const
{
    return static_cast<std::uint64_t>(soon_ms / step_ms(now));
}

} // namespace godwit::admission
