#pragma once

#include <godwit/core/result.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::admission {

/// Weighted counts of the output lengths of a route's generations, in
/// logarithmic buckets. Sums of several hosts can be added.
///
/// A running generation is a right-censored observation: it counts in the
/// buckets that it has passed, and the chance to end within a bucket is that of
/// the generations that reached it (Kaplan and Meier 1958).
class length_sums
{
public:
    /// Two buckets for each doubling, up to 65,536 tokens.
    static constexpr std::size_t bucket_count = 32;
    /// With a smaller weight nothing is derived from the sums.
    static constexpr double min_observations = 20;
    /// The largest weight that one host may report for a bucket.
    static constexpr double max_weight = 10'000;
    /// The largest mean error of an estimate that one host may report.
    static constexpr double max_mean_error = 1'000'000;

    using counts = std::array<double, bucket_count>;

    /// How far estimates were from the lengths of ended generations.
    struct estimate_errors
    {
        double weight = 0;
        double caller = 0;   ///< Sum of the errors of the callers' estimates.
        double observed = 0; ///< Sum of those of the observed median.

        friend bool
        operator==(const estimate_errors&, const estimate_errors&) = default;
    };

    length_sums() = default;

    /// Converts counts from another host; missing buckets are empty. Fails with
    /// `protocol` if a value is out of range.
    [[nodiscard]] static core::result<length_sums> create(
        const std::vector<double>& ended,
        const std::vector<double>& passed,
        const estimate_errors& errors);

    [[nodiscard]] static std::size_t bucket_of(std::uint64_t tokens) noexcept;

    /// The length at which the bucket begins, in tokens.
    [[nodiscard]] static double lower_edge(std::size_t bucket) noexcept;

    /// Counts that a generation grew from one length to another.
    void record_growth(std::uint64_t from, std::uint64_t to) noexcept;

    /// Counts a generation that ended by itself.
    void record_end(std::uint64_t tokens) noexcept;

    /// Counts the errors of two estimates of a length, in tokens.
    void record_errors(double caller, double observed) noexcept;

    /// Multiplies all weights by `factor`.
    void scale(double factor) noexcept;

    length_sums& operator+=(const length_sums& more) noexcept;

    /// The weight of the generations in the bucket that most of them reached.
    [[nodiscard]] double observations() const noexcept;

    /// Returns the number of further tokens that the share `quantile` of the
    /// generations which have written `written` do not exceed. Returns nothing
    /// if there are too few observations, or none of that length.
    [[nodiscard]] std::optional<std::uint64_t>
    remaining(std::uint64_t written, double quantile) const;

    /// Whether the callers' estimates are known to be closer than the observed
    /// median.
    [[nodiscard]] bool are_estimates_better() const noexcept;

    [[nodiscard]] const counts& ended() const noexcept { return ended_; }

    [[nodiscard]] const counts& passed() const noexcept { return passed_; }

    [[nodiscard]] const estimate_errors& errors() const noexcept
    {
        return errors_;
    }

    friend bool operator==(const length_sums&, const length_sums&) = default;

private:
    counts ended_{};
    counts passed_{};
    estimate_errors errors_;
};

} // namespace godwit::admission
