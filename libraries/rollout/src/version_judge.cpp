#include <godwit/rollout/version_judge.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::rollout {

namespace {

// Responses of the former version that are needed before it is known which
// responses are slow.
constexpr std::uint64_t min_latencies = 20;
// The largest part of the former version's responses that count as slow.
constexpr double max_slow_part = 0.25;

// Responses of the former version that are needed to compare later ones of the
// target with them.
constexpr std::uint64_t min_former_responses = 50;

// Returns a rate that the version's true rate exceeds with a probability of
// about one in a million (normal approximation of the Poisson distribution).
double highest_rate(const bad_share& seen)
{
    constexpr double deviations = 5.0;
    const auto bad = static_cast<double>(seen.bad);
    const auto total =
        static_cast<double>(std::max<std::uint64_t>(seen.total, 1));
    return std::min(
        (bad + deviations * std::sqrt(bad + 1.0)) / total, max_slow_part * 3);
}

bad_share failures_of(const response_counts& counts)
{
    return {counts.total, counts.failed};
}

bad_share slow_of(const response_counts& counts, std::size_t bucket)
{
    return {
        counts.total - std::min(counts.failed, counts.total),
        counts.count_from(bucket)};
}

} // namespace

std::string_view to_string(comparison_criterion criterion)
{
    return criterion == comparison_criterion::failures ? "failures" : "latency";
}

version_judge::version_judge(std::size_t hosts) noexcept
    : false_alarm_per_host_(
          false_alarm / static_cast<double>(std::max<std::size_t>(hosts, 1)))
{}

// The shares 1/(n(n+1)) of the probability add up to 1 over any number of
// comparisons.
double version_judge::next_false_alarm() noexcept
{
    ++comparisons_;
    const auto number = static_cast<double>(comparisons_);
    return false_alarm_per_host_ / (number * (number + 1));
}

version_judge::route_state& version_judge::state_of(const std::string& route)
{
    const auto known = routes_.find(route);
    if (known != routes_.end())
        return known->second;
    const double failures = next_false_alarm();
    const double latency = next_false_alarm();
    return routes_.emplace(route, route_state(failures, latency)).first->second;
}

// Returns the first bucket from which on responses are slow, by the former
// version's earlier responses: what it depends on must not include the
// responses that are compared.
std::optional<std::size_t>
version_judge::slow_bucket(const response_counts& former)
{
    const std::uint64_t all = former.count_from(0);
    if (all < min_latencies)
        return std::nullopt;
    for (std::size_t bucket = 0; bucket < response_counts::latency_buckets;
         ++bucket) {
        const auto slow = static_cast<double>(former.count_from(bucket));
        if (slow <= max_slow_part * static_cast<double>(all))
            return bucket;
    }
    return std::nullopt;
}

// Compares the responses since the previous call zone by zone. Once every
// request goes to the target, it can only be compared with what the former
// version did before.
version_judge::added_counts
version_judge::add_by_zone(const stratified_counts& totals)
{
    added_counts added;
    for (const auto& [where, counts] : totals) {
        version_counts& before = compared_[where];
        const response_counts former = counts.former.since(before.former);
        const response_counts target = counts.target.since(before.target);
        before = counts;
        route_state& route = state_of(where.route);
        route.failures.add(failures_of(former), failures_of(target));
        if (const auto bucket = slow_bucket(route.seen.former))
            route.latency.add(
                slow_of(former, *bucket), slow_of(target, *bucket));
        version_counts& sums = added[where.route];
        sums.former += former;
        sums.target += target;
    }
    return added;
}

void version_judge::add_alone(route_state& route, const response_counts& target)
{
    const response_counts& former = route.seen.former;
    if (former.total < min_former_responses)
        return;
    route.failures.add_alone(
        highest_rate(failures_of(former)), failures_of(target));
    // The load may have changed, so that only responses count that take at
    // least twice as long as those that were slow before.
    const auto bucket = slow_bucket(former);
    if (bucket)
        route.latency.add_alone(
            std::max(highest_rate(slow_of(former, *bucket)), max_slow_part),
            slow_of(target, *bucket + 1));
}

std::optional<judgement> version_judge::compare(const stratified_counts& totals)
{
    std::optional<judgement> worse;
    for (const auto& [name, added] : add_by_zone(totals)) {
        route_state& route = state_of(name);
        if (added.former.total == 0 && added.target.total > 0)
            add_alone(route, added.target);
        const auto bucket = slow_bucket(route.seen.former);
        route.seen.former += added.former;
        route.seen.target += added.target;
        if (worse)
            continue;
        if (route.failures.is_worse())
            worse = judgement{
                name,
                comparison_criterion::failures,
                failures_of(route.seen.former),
                failures_of(route.seen.target)};
        else if (route.latency.is_worse() && bucket)
            worse = judgement{
                name,
                comparison_criterion::latency,
                slow_of(route.seen.former, *bucket),
                slow_of(route.seen.target, *bucket)};
    }
    return worse;
}

} // namespace godwit::rollout
