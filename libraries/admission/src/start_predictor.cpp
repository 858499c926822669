#include <godwit/admission/start_predictor.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwit::admission {

namespace {

// Callers that retry at the same moment would compete for the same capacity:
// they are spread over the time in which so many streams start.
constexpr double spread_streams = 8;
constexpr core::duration min_spread = std::chrono::milliseconds(100);
constexpr core::duration max_spread = std::chrono::seconds(1);

// After so long, half of a start rate that is not observed any more counts.
constexpr std::chrono::duration<double> rate_half_life =
    std::chrono::seconds(3);

// Arrivals are observed each 100 ms: about the last five seconds count.
constexpr double arrivals_weight = 0.02;

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
    const auto estimate = estimate_for(stream.service, now);
    if (!estimate)
        return decision;
    const double certain = 1 - correction_of(stream.service).margin();
    if (is_timely(stream)) {
        decision.wait = wait_at(*estimate, stream, stream.timely_rank, now);
        const bool is_kept =
            stream.is_new ? *decision.wait <= stream.timely_left
                          : scaled(*decision.wait, certain) <= stream.stay_left;
        if (is_kept)
            return decision;
    }
    decision.wait = wait_at(*estimate, stream, stream.late_rank, now);
    if (decision.wait > core::duration::zero())
        *decision.wait += overload_left(stream.service, now);
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
    const double factor = time_factor(stream.service, estimate, now);
    queue_position position{
        queue_order_of(stream.timely_rank, stream.retry),
        queue_order_of(rank, stream.retry),
        rank == present_rank(stream) ? stream.waited : core::duration::zero(),
        stream.is_new && rank == stream.late_rank
            ? overtaking(
                  stream.service,
                  queue_order_of(stream.timely_rank, retry_kind::none))
            : 0,
        {}};
    const core::duration without = scaled(estimate.wait(position), factor);
    if (stream.retry == retry_kind::announced ||
        without <= core::duration::zero())
        return std::min(without, start_estimate::max_wait);
    position.retries_ahead =
        retries_.work_until(stream.service, position.order, now + without, now);
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
             order,
             {},
             0,
             retries_.work_until(
                 stream.service, order, core::time_point::max(), now)}),
        time_factor(stream.service, estimate, now));
    const core::duration rest = overload_left(stream.service, now);
    const core::duration spread =
        std::clamp(estimate.time_for(spread_streams), min_spread, max_spread);
    return std::clamp(
        rest + wait + scaled(spread, jitter), min_retry_after, max_retry_after);
}

double start_predictor::held_rate::at(core::time_point now) const
{
    return per_second * std::exp2(
                            -std::chrono::duration<double>(now - observed_at) /
                            rate_half_life);
}

// The rate of two seconds falls when long streams hold the capacity for a
// moment, so that a higher rate before still counts for a while.
double start_predictor::time_factor(
    const core::service_name& service,
    const start_estimate& estimate,
    core::time_point now) const
{
    const double correction = correction_of(service).factor();
    const auto found = rates_.find(service);
    if (found == rates_.end())
        return correction;
    const double held = found->second.at(now);
    return held <= estimate.rate() ? correction
                                   : correction * estimate.rate() / held;
}

// Late streams start after the overload. It has lasted for some time, and may
// last as long again.
core::duration start_predictor::overload_left(
    const core::service_name& service, core::time_point now) const
{
    const auto found = overloaded_since_.find(service);
    return found == overloaded_since_.end() ? core::duration::zero()
                                            : now - found->second;
}

void start_predictor::observe(core::time_point now)
{
    for (const auto& [service, queue] : own_.sums(now)) {
        const auto estimate = estimate_for(service, now);
        if (estimate && (!rates_.contains(service) ||
                         rates_[service].at(now) <= estimate->rate()))
            rates_[service] = {estimate->rate(), now};
        if (!estimate || !estimate->is_overloaded())
            overloaded_since_.erase(service);
        if (estimate && !overloaded_since_.contains(service) &&
            !estimate->is_overloaded())
            observe_arrivals(service, queue, *estimate);
        if (estimate && estimate->is_overloaded())
            overloaded_since_.try_emplace(service, now);
    }
}

void start_predictor::observe_arrivals(
    const core::service_name& service,
    const service_queue& own,
    const start_estimate& estimate)
{
    auto& usual = usual_arrivals_[service];
    for (const auto& [order, each] : own) {
        if (is_late_order(order) || is_announced_order(order) ||
            (usual.size() >= max_queue_orders && !usual.contains(order)))
            continue;
        const double observed = estimate.arrivals_from(order);
        const auto [known, is_new] = usual.try_emplace(order, observed);
        known->second += arrivals_weight * (observed - known->second);
    }
}

// Timely streams go before late ones, also after the overload.
double start_predictor::overtaking(
    const core::service_name& service, int timely_order) const
{
    const auto usual = usual_arrivals_.find(service);
    if (usual == usual_arrivals_.end())
        return 0;
    const auto found = usual->second.find(timely_order);
    return found == usual->second.end() ? 0 : found->second;
}

std::optional<start_estimate> start_predictor::estimate_for(
    const core::service_name& service, core::time_point now) const
{
    return start_estimate::create(
        sum_of(neighbours_.at(service, now), own_.sums(now), service));
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
    const host_queues own = own_.sums(now);
    const auto is_unused = [&own](const auto& each) {
        return !own.contains(each.first);
    };
    std::erase_if(overloaded_since_, is_unused);
    std::erase_if(rates_, is_unused);
    std::erase_if(usual_arrivals_, is_unused);
    observe(now);
}

} // namespace godwit::admission
