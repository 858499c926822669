#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/admission/length_sums.hpp>
#include <godwit/admission/observed_lengths.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace godwit::admission {

/// Estimates how much the generations of one route write, from those that this
/// host and its neighbours have seen. Older observations count less.
class length_estimator
{
public:
    /// The time in which the weight of an observation halves.
    static constexpr core::duration half_life = std::chrono::seconds(10);
    /// Neighbours whose sums are kept.
    static constexpr std::size_t max_neighbours = 64;

    /// Records that a generation has grown from one length to another.
    void
    record_growth(std::uint64_t from, std::uint64_t to, core::time_point now);

    /// Records a generation that ended by itself at this length.
    void record_end(
        const generation_parameters& parameters,
        std::uint64_t tokens,
        core::time_point now);

    /// Replaces the neighbour's previous sums.
    void update_from_neighbour(
        const core::host_name& host,
        const length_sums& sums,
        core::time_point now);

    /// Returns the sums of this host's own observations.
    [[nodiscard]] length_sums own(core::time_point now) const;

    /// Returns the sums of this host and its neighbours.
    [[nodiscard]] const length_sums& total(core::time_point now) const;

    /// Returns nothing if there are too few observations. `soon_tokens` is what
    /// a run writes in the next two seconds.
    [[nodiscard]] std::optional<observed_lengths> observe(
        std::uint64_t written_tokens,
        std::uint64_t soon_tokens,
        core::time_point now) const;

    /// Whether the weight of everything known is negligible.
    [[nodiscard]] bool is_forgotten(core::time_point now) const;

private:
    struct dated_sums
    {
        length_sums sums;
        core::time_point as_of;

        [[nodiscard]] length_sums at(core::time_point now) const;
        void advance(core::time_point now);
    };

    dated_sums own_;
    std::map<core::host_name, dated_sums> neighbours_;
    // Mutable because the total is only calculated when it is needed.
    mutable std::optional<dated_sums> total_;
};

} // namespace godwit::admission
