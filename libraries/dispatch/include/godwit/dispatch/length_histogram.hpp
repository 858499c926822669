#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace godwit::dispatch {

/// A histogram of lengths with logarithmic buckets, kept as the chance to end
/// within each bucket for those that reached it. Cut generations count for
/// as far as they came (Kaplan and Meier 1958). Old observations fade.
class length_histogram
{
public:
    /// Four buckets an octave up to 2^20 tokens.
    static constexpr std::size_t bucket_count = 80;

    /// The bucket that holds `tokens`.
    [[nodiscard]] static std::size_t bucket_of(std::uint32_t tokens) noexcept;

    /// The first length of `bucket`.
    [[nodiscard]] static std::uint32_t lower_edge(std::size_t bucket) noexcept;

    /// A generation grew from `from` to `to` tokens.
    void progressed(std::uint32_t from, std::uint32_t to) noexcept;

    /// A generation ended by itself at `tokens`.
    void ended(std::uint32_t tokens) noexcept;

    /// Further tokens at `quantile`, given that `so_far` were reached; none
    /// where too few got that far.
    [[nodiscard]] std::optional<std::uint32_t>
    remaining(std::uint32_t so_far, double quantile) const noexcept;

private:
    struct bucket
    {
        float survived = 0.0F;
        float ended = 0.0F;
    };

    void fade(bucket& counts) noexcept;

    std::array<bucket, bucket_count> buckets_{};
};

} // namespace godwit::dispatch
