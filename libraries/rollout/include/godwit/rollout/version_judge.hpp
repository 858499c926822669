#pragma once

#include <godwit/rollout/response_counts.hpp>
#include <godwit/rollout/version_comparison.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::rollout {

/// What a version is worse in.
enum class comparison_criterion
{
    failures,
    latency,
};

[[nodiscard]] std::string_view to_string(comparison_criterion criterion);

/// Why a version was judged to be worse, with the responses of both versions
/// on the route since the order. `bad` counts failures or slow responses.
struct judgement
{
    std::string route;
    comparison_criterion criterion = comparison_criterion::failures;
    bad_share former;
    bad_share target;

    friend bool operator==(const judgement&, const judgement&) = default;
};

/// Judges on each route whether the target version of a rollout fails more, or
/// takes longer, than the former one. Only responses of the same route, zone
/// and interval are compared, so that trouble of a zone or a load that changes
/// is not mistaken for the version.
class version_judge
{
public:
    /// The probability of rolling back a version that is equal to the former
    /// one, over all hosts that judge it.
    static constexpr double false_alarm = 0.001;

    /// `hosts` is the number of hosts that judge the version, at least 1.
    explicit version_judge(std::size_t hosts) noexcept;

    /// Compares what was counted since the previous call. Returns the first
    /// reason why the target is worse.
    [[nodiscard]] std::optional<judgement>
    compare(const stratified_counts& totals);

private:
    struct route_state
    {
        route_state(double failures_false_alarm, double latency_false_alarm)
            : failures(failures_false_alarm), latency(latency_false_alarm)
        {}

        version_comparison failures;
        version_comparison latency;
        version_counts seen; ///< In all zones, until the previous call.
    };

    /// Responses by route.
    using added_counts = std::map<std::string, version_counts>;

    [[nodiscard]] added_counts add_by_zone(const stratified_counts& totals);
    static void add_alone(route_state& route, const response_counts& target);
    [[nodiscard]] route_state& state_of(const std::string& route);
    [[nodiscard]] double next_false_alarm() noexcept;
    [[nodiscard]] static std::optional<std::size_t>
    slow_bucket(const response_counts& former);

    double false_alarm_per_host_;
    std::uint64_t comparisons_ = 0; ///< Started so far.
    std::map<std::string, route_state> routes_;
    stratified_counts compared_; ///< All that was compared so far.
};

} // namespace godwit::rollout
