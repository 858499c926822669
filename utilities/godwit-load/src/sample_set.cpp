#include <godwit/load/sample_set.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace godwit::load {

namespace {

constexpr unsigned precision_bits = 6;
constexpr std::uint64_t steps = std::uint64_t{1} << precision_bits;
// Up to 2^40 microseconds, about 12 days; longer ones count as that.
constexpr unsigned largest_exponent = 40;
constexpr std::size_t bucket_count =
    (largest_exponent - precision_bits + 1) * steps;

std::size_t bucket_of(std::uint64_t value)
{
    if (value < steps)
        return value;
    const auto exponent = static_cast<unsigned>(std::bit_width(value) - 1);
    const std::uint64_t shifted = value >> (exponent - precision_bits);
    const std::size_t index = (exponent - precision_bits) * steps + shifted;
    return std::min(index, bucket_count - 1);
}

std::uint64_t upper_end(std::size_t bucket)
{
    if (bucket < 2 * steps)
        return bucket;
    const std::uint64_t exponent = bucket / steps - 1;
    const std::uint64_t shifted = bucket % steps + steps;
    return ((shifted + 1) << exponent) - 1;
}

} // namespace

sample_set::sample_set() : buckets_(bucket_count) {}

void sample_set::add(core::duration sample)
{
    const auto value =
        static_cast<std::uint64_t>(std::max<std::int64_t>(sample.count(), 0));
    ++buckets_[bucket_of(value)];
    ++count_;
    longest_ = std::max(longest_, sample);
}

core::duration sample_set::percentile(double percent) const
{
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(static_cast<double>(count_) * percent / 100.0));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        seen += buckets_[bucket];
        if (seen >= wanted && seen > 0)
            return std::min(
                core::duration(
                    static_cast<core::duration::rep>(upper_end(bucket))),
                longest_);
    }
    return {};
}

} // namespace godwit::load
