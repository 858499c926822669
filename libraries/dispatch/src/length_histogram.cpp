#include <godwit/dispatch/length_histogram.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace godwit::dispatch {

namespace {

constexpr std::size_t buckets_an_octave = 4;
constexpr unsigned octave_bits = 2;

// Below this many observations a bucket says nothing.
constexpr float least_observations = 4.0F;

// At this many observations a bucket forgets half of them, so that it
// follows a change after about as many generations.
constexpr float most_observations = 512.0F;

} // namespace

std::size_t length_histogram::bucket_of(std::uint32_t tokens) noexcept
{
    const std::uint64_t length = std::max<std::uint32_t>(tokens, 1);
    const auto octave = static_cast<std::size_t>(std::bit_width(length)) - 1;
    // The two bits after the leading one choose the bucket in the octave.
    const std::uint64_t fraction =
        ((length << octave_bits) >> octave) & (buckets_an_octave - 1);
    const std::size_t bucket = octave * buckets_an_octave + fraction;
    return std::min(bucket, bucket_count - 1);
}

std::uint32_t length_histogram::lower_edge(std::size_t bucket) noexcept
{
    const std::size_t octave = bucket / buckets_an_octave;
    const std::uint64_t fraction = bucket % buckets_an_octave;
    const std::uint64_t scaled = (buckets_an_octave + fraction) << octave;
    // Rounded up: the least whole length that falls into the bucket.
    return static_cast<std::uint32_t>(
        (scaled + buckets_an_octave - 1) / buckets_an_octave);
}

void length_histogram::fade(bucket& counts) noexcept
{
    if (counts.survived + counts.ended < most_observations)
        return;
    counts.survived /= 2.0F;
    counts.ended /= 2.0F;
}

void length_histogram::progressed(std::uint32_t from, std::uint32_t to) noexcept
{
    const std::size_t last = bucket_of(to);
    for (std::size_t index = bucket_of(from); index < last; ++index) {
        buckets_.at(index).survived += 1.0F;
        fade(buckets_.at(index));
    }
}

void length_histogram::ended(std::uint32_t tokens) noexcept
{
    bucket& counts = buckets_.at(bucket_of(tokens));
    counts.ended += 1.0F;
    fade(counts);
}

std::optional<std::uint32_t> length_histogram::remaining(
    std::uint32_t so_far, double quantile) const noexcept
{
    const double target = 1.0 - quantile;
    const auto start = static_cast<double>(std::max<std::uint32_t>(so_far, 1));
    double surviving = 1.0;
    double position = start;
    // The product of the chances to pass each bucket is the Kaplan-Meier
    // estimate; within a bucket the chance to end is taken as even.
    for (std::size_t index = bucket_of(so_far); index + 1 < bucket_count;
         ++index) {
        const bucket& counts = buckets_.at(index);
        const double low = lower_edge(index);
        const double high = lower_edge(index + 1);
        if (high <= low)
            continue;
        const float observations = counts.survived + counts.ended;
        if (observations < least_observations) {
            // The quantile lies beyond what was seen; the end of what was
            // seen is the most that can be said.
            if (position <= start)
                return std::nullopt;
            return static_cast<std::uint32_t>(position - start);
        }
        const double passed = counts.survived / observations;
        const double part = (high - position) / (high - low);
        const double after = surviving * std::pow(passed, part);
        if (after <= target) {
            const double step =
                (high - position) * (surviving - target) / (surviving - after);
            return static_cast<std::uint32_t>(
                std::ceil(position + step - start));
        }
        surviving = after;
        position = high;
    }
    return std::nullopt;
}

} // namespace godwit::dispatch
