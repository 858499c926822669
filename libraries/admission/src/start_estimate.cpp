#include <godwit/admission/start_estimate.hpp>

#include <godwit/admission/queue_order.hpp>
#include <godwit/admission/work_window.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

namespace {

// Where arrivals that go first leave less than this share of the start rate,
// the rest is within the error of both rates.
constexpr double min_rate_left = 0.05;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

core::duration bounded(double seconds_to_start)
{
    const double most = seconds(start_estimate::max_wait);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(seconds_to_start, most)));
}

} // namespace

std::optional<start_estimate> start_estimate::create(service_queue cell)
{
    work_amount started;
    for (const auto& [order, each] : cell)
        started += each.started;
    if (started.requests < min_starts)
        return std::nullopt;
    return start_estimate(std::move(cell), started);
}

start_estimate::start_estimate(service_queue cell, const work_amount& started)
    : cell_(std::move(cell)), started_(started),
      rate_(amount(started) / seconds(work_window::length))
{}

// Memory is what engines run out of first, so that work is counted in tokens
// where callers state them.
double start_estimate::amount(const work_amount& work) const
{
    return static_cast<double>(
        started_.tokens > 0 ? work.tokens : work.requests);
}

// Streams of the same order start in the order of their arrival. Those that
// arrived later are known only by their rate.
double start_estimate::work_ahead(const queue_position& position) const
{
    double ahead = static_cast<double>(position.retries_ahead) *
                   amount(started_) / static_cast<double>(started_.requests);
    for (const auto& [order, each] : cell_) {
        if (order < position.order)
            ahead += amount(each.waiting);
        if (order != position.order)
            continue;
        const double newer = amount(each.arrived) * seconds(position.waited) /
                             seconds(work_window::length);
        ahead += std::max(amount(each.waiting) - newer, 0.0);
    }
    return ahead;
}

// Announced retries are counted by their due times, and late streams on their
// arrival.
double start_estimate::rate_of_arrivals_before(int order) const
{
    double arrived = 0;
    for (const auto& [before, each] : cell_) {
        if (before < order && !is_announced_order(before) &&
            !is_late_order(before))
            arrived += amount(each.arrived);
    }
    return arrived / seconds(work_window::length);
}

core::duration start_estimate::wait(const queue_position& position) const
{
    const double ahead = work_ahead(position);
    if (ahead <= 0)
        return core::duration::zero();
    const double left = rate_ - rate_of_arrivals_before(position.order);
    if (left <= rate_ * min_rate_left)
        return max_wait;
    return bounded(ahead / left);
}

core::duration start_estimate::time_for(double streams) const
{
    const double per_second =
        static_cast<double>(started_.requests) / seconds(work_window::length);
    return bounded(streams / per_second);
}

} // namespace godwit::admission
