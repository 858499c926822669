#include <godwit/admission/start_estimate.hpp>

#include <godwit/admission/queue_order.hpp>
#include <godwit/admission/work_window.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

namespace {

// A smaller share of the start rate is within the error of the rates.
constexpr double min_rate_left = 0.02;

// The order of announced retries of the same rank.
int first_order_of_rank(int order)
{
    return is_announced_order(order) ? order : order - 1;
}

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

// Streams of lower orders may take all capacity.
double start_estimate::seconds_of_lower_orders(int order) const
{
    double ahead = 0;
    for (const auto& [before, each] : cell_) {
        if (before < first_order_of_rank(order))
            ahead += amount(each.waiting);
    }
    return ahead / rate_;
}

// Streams of the same order start in the order of their arrival. Those that
// arrived later are known only by their rate.
double start_estimate::work_of_same_rank(const queue_position& position) const
{
    double ahead = amount(position.retries_ahead);
    for (const auto& [order, each] : cell_) {
        if (order < first_order_of_rank(position.order) ||
            order > position.order)
            continue;
        const double newer =
            order == position.order
                ? amount(each.arrived) * seconds(position.waited) /
                      seconds(work_window::length)
                : 0;
        ahead += std::max(amount(each.waiting) - newer, 0.0);
    }
    return ahead;
}

// What lower orders leave is what the other streams got. Late streams may get
// nothing until there is more capacity than timely ones arrive for: announced
// retries are not counted there, because their due times are known, nor late
// streams, because they were counted on their arrival.
double start_estimate::rate_left_for(int order) const
{
    double started = 0;
    double arrived = 0;
    for (const auto& [other, each] : cell_) {
        if (other >= first_order_of_rank(order))
            started += amount(each.started);
        else if (!is_announced_order(other) && !is_late_order(other))
            arrived += amount(each.arrived);
    }
    const double left = started / seconds(work_window::length);
    if (!is_late_order(order))
        return left;
    return std::max(left, rate_ - arrived / seconds(work_window::length));
}

core::duration start_estimate::wait(const queue_position& position) const
{
    const double lower = seconds_of_lower_orders(position.order);
    const double same = work_of_same_rank(position);
    if (lower + same <= 0)
        return core::duration::zero();
    const double left = rate_left_for(position.order);
    if (left <= rate_ * min_rate_left)
        return max_wait;
    return bounded(lower + same / left);
}

core::duration start_estimate::time_for(double streams) const
{
    const double per_second =
        static_cast<double>(started_.requests) / seconds(work_window::length);
    return bounded(streams / per_second);
}

} // namespace godwit::admission
