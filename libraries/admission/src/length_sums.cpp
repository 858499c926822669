#include <godwit/admission/length_sums.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::admission {

namespace {

constexpr double buckets_per_doubling = 2;
// Below this weight a bucket says nothing about the generations that reach it.
constexpr double min_bucket_weight = 1;
// Bounds the hazard of a bucket in which every generation ended, whose
// logarithm would be infinite.
constexpr double max_ended_share = 0.999;

bool is_in_range(double value, double max)
{
    return std::isfinite(value) && value >= 0 && value <= max;
}

bool are_valid(const std::vector<double>& weights)
{
    return weights.size() <= length_sums::bucket_count &&
           std::all_of(weights.begin(), weights.end(), [](double weight) {
               return is_in_range(weight, length_sums::max_weight);
           });
}

bool are_valid(const length_sums::estimate_errors& errors)
{
    const double max_sum = length_sums::max_mean_error * errors.weight;
    return is_in_range(errors.weight, length_sums::max_weight) &&
           is_in_range(errors.caller, max_sum) &&
           is_in_range(errors.observed, max_sum);
}

} // namespace

core::result<length_sums> length_sums::create(
    const std::vector<double>& ended,
    const std::vector<double>& passed,
    const estimate_errors& errors)
{
    if (!are_valid(ended) || !are_valid(passed) || !are_valid(errors))
        return core::fail(
            core::error_kind::protocol,
            "output lengths from a neighbour have a value out of range",
            "check that the neighbour runs this release");
    length_sums sums;
    std::copy(ended.begin(), ended.end(), sums.ended_.begin());
    std::copy(passed.begin(), passed.end(), sums.passed_.begin());
    sums.errors_ = errors;
    return sums;
}

std::size_t length_sums::bucket_of(std::uint64_t tokens) noexcept
{
    if (tokens <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(
        buckets_per_doubling * std::log2(static_cast<double>(tokens)));
    return std::min(bucket, bucket_count - 1);
}

double length_sums::lower_edge(std::size_t bucket) noexcept
{
    return bucket == 0
               ? 0
               : std::exp2(static_cast<double>(bucket) / buckets_per_doubling);
}

void length_sums::record_growth(std::uint64_t from, std::uint64_t to) noexcept
{
    const std::size_t end = bucket_of(to);
    for (std::size_t bucket = bucket_of(from); bucket < end; ++bucket)
        passed_[bucket] += 1;
}

void length_sums::record_end(std::uint64_t tokens) noexcept
{
    ended_[bucket_of(tokens)] += 1;
}

void length_sums::record_errors(double caller, double observed) noexcept
{
    errors_.weight += 1;
    errors_.caller += std::min(caller, max_mean_error);
    errors_.observed += std::min(observed, max_mean_error);
}

void length_sums::scale(double factor) noexcept
{
    for (double& weight : ended_)
        weight *= factor;
    for (double& weight : passed_)
        weight *= factor;
    errors_.weight *= factor;
    errors_.caller *= factor;
    errors_.observed *= factor;
}

length_sums& length_sums::operator+=(const length_sums& more) noexcept
{
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        ended_[bucket] += more.ended_[bucket];
        passed_[bucket] += more.passed_[bucket];
    }
    errors_.weight += more.errors_.weight;
    errors_.caller += more.errors_.caller;
    errors_.observed += more.errors_.observed;
    return *this;
}

double length_sums::observations() const noexcept
{
    double most = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
        most = std::max(most, ended_[bucket] + passed_[bucket]);
    return most;
}

// Walks along the buckets until the share of the generations that are still
// running has fallen to 1 - `quantile`. Within a bucket the hazard is constant.
std::optional<std::uint64_t>
length_sums::remaining(std::uint64_t written, double quantile) const
{
    if (observations() < min_observations)
        return std::nullopt;
    const auto from = static_cast<double>(written);
    const std::size_t first = bucket_of(written);
    double left = -std::log1p(-quantile);
    double position = from;
    for (std::size_t bucket = first; bucket < bucket_count; ++bucket) {
        const double reached = ended_[bucket] + passed_[bucket];
        if (reached < min_bucket_weight) {
            if (bucket == first)
                return std::nullopt;
            break;
        }
        const double ended_share =
            std::min(ended_[bucket] / reached, max_ended_share);
        const double width = lower_edge(bucket + 1) - lower_edge(bucket);
        const double rate = -std::log1p(-ended_share) / width;
        const double rest = std::max(lower_edge(bucket + 1) - position, 0.0);
        if (rate * rest >= left) {
            position += left / rate;
            break;
        }
        left -= rate * rest;
        position = std::max(position, lower_edge(bucket + 1));
    }
    return static_cast<std::uint64_t>(std::ceil(position - from));
}

bool length_sums::are_estimates_better() const noexcept
{
    return errors_.weight >= min_observations &&
           errors_.caller < errors_.observed;
}

} // namespace godwit::admission
