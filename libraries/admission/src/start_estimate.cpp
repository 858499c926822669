#include <godwit/admission/start_estimate.hpp>

#include <godwit/admission/queue_order.hpp>
#include <godwit/admission/work_window.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

namespace {

// More urgent streams that begin to arrive faster take all capacity until
// others have ended. A rank that got nothing in the window is assumed to get
// at least so many streams in the next.
constexpr double min_streams_left = 2;
// Work that goes first leaves at least this share of a rate: less is within the
// error of both.
constexpr double min_share_left = 0.1;

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

// Streams of more urgent ranks may take all capacity.
double start_estimate::seconds_of_lower_ranks(int timely_order) const
{
    double ahead = 0;
    for (const auto& [order, each] : cell_) {
        if (order < first_order_of_rank(timely_order))
            ahead += amount(each.waiting);
    }
    return ahead / rate_;
}

// Streams of the same order start in the order of their arrival. Those that
// arrived later are known only by their rate.
double start_estimate::work_ahead(const queue_position& position) const
{
    double ahead = amount(position.retries_ahead);
    for (const auto& [order, each] : cell_) {
        if (order < first_order_of_rank(position.timely_order) ||
            order > position.order)
            continue;
        const double newer = order == position.order
                                 ? amount(each.arrived) *
                                       seconds(position.waited) /
                                       seconds(work_window::length)
                                 : 0;
        ahead += std::max(amount(each.waiting) - newer, 0.0);
    }
    return ahead;
}

// What more urgent ranks leave is what the other streams got.
double start_estimate::rate_left_for(const queue_position& position) const
{
    const double least = min_streams_left * amount(started_) /
                         static_cast<double>(started_.requests);
    double others = 0;
    for (const auto& [order, each] : cell_) {
        if (order >= first_order_of_rank(position.timely_order))
            others += amount(each.started);
    }
    const double left = std::max(least, others) / seconds(work_window::length);
    return std::max(left - position.overtaking, left * min_share_left);
}

core::duration start_estimate::wait(const queue_position& position) const
{
    return bounded(
        seconds_of_lower_ranks(position.timely_order) +
        work_ahead(position) / rate_left_for(position));
}

double start_estimate::arrivals_from(int timely_order) const
{
    double arrived = 0;
    for (const auto& [order, each] : cell_) {
        if (order >= first_order_of_rank(timely_order) &&
            !is_announced_order(order) && !is_late_order(order))
            arrived += amount(each.arrived);
    }
    return arrived / seconds(work_window::length);
}

bool start_estimate::is_overloaded() const
{
    double arrived = 0;
    double waiting = 0;
    for (const auto& [order, each] : cell_) {
        waiting += amount(each.waiting);
        if (!is_late_order(order))
            arrived += amount(each.arrived);
    }
    return waiting > 0 && arrived > amount(started_);
}

core::duration start_estimate::time_for(double streams) const
{
    const double per_second =
        static_cast<double>(started_.requests) / seconds(work_window::length);
    return bounded(streams / per_second);
}

} // namespace godwit::admission
