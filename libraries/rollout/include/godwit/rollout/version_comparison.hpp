#pragma once

#include <array>
#include <cstdint>

namespace godwit::rollout {

/// Responses of one version within an interval, and how many of them were bad.
struct bad_share
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    friend bool operator==(const bad_share&, const bad_share&) = default;
};

/// A sequential test whether one version has more bad responses than another
/// that serves the same requests at the same time.
///
/// If both versions are equal, each bad response of an interval comes from the
/// target with the probability of the target's share of the responses. The
/// likelihood ratio of a higher rate is then a supermartingale, so that it ever
/// reaches 1/p with a probability of at most p (Ville's inequality), however
/// often it is looked at and however the shares change. Sampling without
/// replacement within the interval only makes large ratios rarer (Hoeffding
/// 1963).
class version_comparison
{
public:
    /// `false_alarm` is the largest probability of ever calling an equal
    /// version worse.
    explicit version_comparison(double false_alarm) noexcept;

    /// Adds the responses of one interval, in which both versions served the
    /// same kind of request.
    void add(const bad_share& former, const bad_share& target) noexcept;

    /// Adds responses of an interval in which only the target served requests.
    /// They are compared with the highest rate of bad responses that the former
    /// version may have had before.
    void add_alone(double former_rate, const bad_share& target) noexcept;

    /// Whether the target is worse.
    [[nodiscard]] bool is_worse() const noexcept { return is_worse_; }

private:
    /// The rates of bad responses that are tested, as multiples of the former
    /// version's.
    static constexpr std::array<double, 4> rate_ratios{2.0, 4.0, 16.0, 64.0};

    [[nodiscard]] double log_mean_ratio() const noexcept;

    double log_threshold_;
    std::array<double, rate_ratios.size()> log_ratios_{};
    bool is_worse_ = false;
};

} // namespace godwit::rollout
