#pragma once

#include <godwit/core/time.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace godwit::admission {

/// A call that runs at one server and may get a second attempt.
struct hedge_candidate
{
    bool is_idempotent = false;
    unsigned runs = 0; ///< Attempts so far, including the one that runs.
    unsigned max_attempts = 1;
    /// Whether the server that runs it states that it is slow.
    bool is_stated_slow = false;
    core::duration age{}; ///< Since the attempt that runs was sent.
};

/// Decides when an idempotent call gets a second attempt, from the durations of
/// its route's calls.
class hedging_policy
{
public:
    /// The share of a route's calls that ends before a call is hedged.
    static constexpr double quantile = 0.95;
    /// The number of most recent calls of a route that count.
    static constexpr std::size_t window = 128;
    /// The minimum number of calls of a route: with fewer, the quantile is
    /// the longest of a handful.
    static constexpr std::size_t min_calls = 20;
    /// Routes that were not recorded among these many are never hedged.
    static constexpr std::size_t max_routes = 256;

    /// Records an attempt of this duration that yielded a response.
    void record(const std::string& route, core::duration taken);

    /// Returns how long an attempt runs before it is hedged; nothing while too
    /// few calls are known.
    [[nodiscard]] std::optional<core::duration>
    delay(const std::string& route) const;

    /// Whether the call gets a second attempt now.
    [[nodiscard]] bool should_hedge(
        const std::string& route, const hedge_candidate& candidate) const;

    /// Whether calls of this kind may get one at all.
    [[nodiscard]] static bool may_hedge(const hedge_candidate& candidate);

private:
    struct recent_durations
    {
        std::array<core::duration, window> values{};
        std::size_t count = 0; ///< Of all that were recorded.
    };

    std::map<std::string, recent_durations> routes_;
};

} // namespace godwit::admission
