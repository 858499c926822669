#include <godwit/admission/start_predictor.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

namespace {

// Callers that retry at the same moment would compete for the same capacity:
// they are spread over the time in which so many streams start.
constexpr double spread_streams = 8;
constexpr core::duration min_spread = std::chrono::milliseconds(100);
constexpr core::duration max_spread = std::chrono::seconds(1);

core::duration scaled(core::duration time, double factor)
{
    return std::chrono::duration_cast<core::duration>(time * factor);
}

bool is_timely(const waiting_stream& stream)
{
    return stream.timely_left > core::duration::zero();
}

int present_rank(const waiting_stream& stream)
{
    return is_timely(stream) ? stream.timely_rank : stream.late_rank;
}

service_queue sum_of(
    service_queue left,
    const host_queues& own,
    const core::service_name& service)
{
    const auto found = own.find(service);
    if (found == own.end())
        return left;
    for (const auto& [order, more] : found->second)
        left[order] += more;
    return left;
}

} // namespace

// A new stream that would turn late, and then start too late, is refused at
// once. One that was kept goes before newer ones until it turns late.
start_decision start_predictor::decide(
    const waiting_stream& stream, core::time_point now, double jitter) const
{
    start_decision decision;
    const auto estimate = start_estimate::create(sum_of(
        neighbours_.at(stream.service, now), own_.sums(now), stream.service));
    if (!estimate)
        return decision;
    const double certain = 1 - correction_of(stream.service).margin();
    if (is_timely(stream)) {
        decision.wait = wait_at(*estimate, stream, stream.timely_rank, now);
        const core::duration limit =
            stream.is_new ? stream.timely_left : stream.stay_left;
        if (scaled(*decision.wait, certain) <= limit)
            return decision;
    }
    decision.wait = wait_at(*estimate, stream, stream.late_rank, now);
    if (scaled(*decision.wait, certain) <= stream.stay_left)
        return decision;
    decision.retry_after = retry_time(*estimate, stream, now, jitter);
    return decision;
}

// Announced retries that arrive meanwhile go first.
core::duration start_predictor::wait_at(
    const start_estimate& estimate,
    const waiting_stream& stream,
    int rank,
    core::time_point now) const
{
    const double factor = correction_of(stream.service).factor();
    queue_position position{
        queue_order_of(rank, stream.retry),
        rank == present_rank(stream) ? stream.waited : core::duration::zero(),
        {}};
    const core::duration without = scaled(estimate.wait(position), factor);
    if (stream.retry == retry_kind::announced ||
        without <= core::duration::zero())
        return std::min(without, start_estimate::max_wait);
    position.retries_ahead = retries_.work_until(
        stream.service, position.order, now + without, now);
    return std::min(
        scaled(estimate.wait(position), factor), start_estimate::max_wait);
}

// What waits now and the retries announced before go first.
core::duration start_predictor::retry_time(
    const start_estimate& estimate,
    const waiting_stream& stream,
    core::time_point now,
    double jitter) const
{
    const int order = queue_order_of(stream.timely_rank, retry_kind::none);
    const core::duration wait = scaled(
        estimate.wait(
            {order,
             {},
             retries_.work_until(
                 stream.service, order, core::time_point::max(), now)}),
        correction_of(stream.service).factor());
    const core::duration spread =
        std::clamp(estimate.time_for(spread_streams), min_spread, max_spread);
    return std::clamp(
        wait + scaled(spread, jitter), min_retry_after, max_retry_after);
}

void start_predictor::record_wait(
    const core::service_name& service,
    core::duration predicted,
    core::duration observed)
{
    if (!corrections_.contains(service) &&
        corrections_.size() >= max_queue_services)
        return;
    corrections_[service].record(predicted, observed);
}

wait_correction
start_predictor::correction_of(const core::service_name& service) const
{
    const auto found = corrections_.find(service);
    return found == corrections_.end() ? wait_correction() : found->second;
}

void start_predictor::expire(core::time_point now)
{
    own_.expire(now);
    neighbours_.expire(now);
    retries_.expire(now);
}

} // namespace godwit::admission
