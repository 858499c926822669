#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace godwit::rollout {

/// The two versions that are compared in a rollout.
enum class version_side
{
    former,
    target,
};

/// Responses that are compared with each other: those of one route from servers
/// of one zone.
struct stratum
{
    std::string route;
    core::zone_name zone;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const stratum&, const stratum&) = default;
};

/// How many responses there were, how many failed, and how long they took.
struct response_counts
{
    /// Each bucket spans a factor of two; the first one ends at 1 ms.
    static constexpr std::size_t latency_buckets = 17;

    std::uint64_t total = 0;
    std::uint64_t failed = 0;
    /// Of the responses that did not fail.
    std::array<std::uint64_t, latency_buckets> latencies{};

    /// Returns the bucket of a latency.
    [[nodiscard]] static std::size_t bucket_of(core::duration latency) noexcept;

    /// Returns the responses that did not fail and are in `bucket` or a later
    /// one.
    [[nodiscard]] std::uint64_t count_from(std::size_t bucket) const noexcept;

    response_counts& operator+=(const response_counts& other) noexcept;

    /// Returns the responses that `earlier` does not have; none where it has
    /// more, since the counts of a host that restarts begin anew.
    [[nodiscard]] response_counts
    since(const response_counts& earlier) const noexcept;

    friend bool
    operator==(const response_counts&, const response_counts&) = default;
};

/// The responses of both versions.
struct version_counts
{
    response_counts former;
    response_counts target;

    [[nodiscard]] response_counts& of(version_side side) noexcept
    {
        return side == version_side::target ? target : former;
    }

    friend bool
    operator==(const version_counts&, const version_counts&) = default;
};

using stratified_counts = std::map<stratum, version_counts>;

} // namespace godwit::rollout
