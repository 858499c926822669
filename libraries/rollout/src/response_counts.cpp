#include <godwit/rollout/response_counts.hpp>

#include <algorithm>
#include <bit>
#include <chrono>
#include <numeric>

namespace godwit::rollout {

namespace {

std::uint64_t difference(std::uint64_t now, std::uint64_t earlier) noexcept
{
    return now > earlier ? now - earlier : 0;
}

} // namespace

std::size_t response_counts::bucket_of(core::duration latency) noexcept
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
    const auto width = std::bit_width(
        static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)));
    return std::min<std::size_t>(
        static_cast<std::size_t>(width), latency_buckets - 1);
}

std::uint64_t response_counts::count_from(std::size_t bucket) const noexcept
{
    const std::size_t first = std::min(bucket, latency_buckets);
    return std::accumulate(
        latencies.begin() + static_cast<std::ptrdiff_t>(first),
        latencies.end(),
        std::uint64_t{0});
}

response_counts&
response_counts::operator+=(const response_counts& other) noexcept
{
    total += other.total;
    failed += other.failed;
    for (std::size_t bucket = 0; bucket < latency_buckets; ++bucket)
        latencies.at(bucket) += other.latencies.at(bucket);
    return *this;
}

response_counts
response_counts::since(const response_counts& earlier) const noexcept
{
    response_counts added;
    added.total = difference(total, earlier.total);
    added.failed = difference(failed, earlier.failed);
    for (std::size_t bucket = 0; bucket < latency_buckets; ++bucket)
        added.latencies.at(bucket) =
            difference(latencies.at(bucket), earlier.latencies.at(bucket));
    return added;
}

} // namespace godwit::rollout
