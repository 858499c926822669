#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/queueing/organisation_work.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace godwit::queueing {

/// The work that each organisation used at this host: the tokens of its runs,
/// held over time, in token seconds that decay.
class organisation_usage
{
public:
    static constexpr core::duration half_life = std::chrono::seconds(5);
    /// The organisations that are tracked at a time; the work of others does
    /// not count.
    static constexpr std::size_t max_organisations = 256;

    /// Records that a run of so many tokens began.
    void begin(
        const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);

    /// Records that such a run ended.
    void
    end(const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);

    /// Returns the organisations with the most work, at most so many.
    [[nodiscard]] std::vector<organisation_work>
    most_used(std::size_t count, core::time_point now) const;

private:
    struct account
    {
        double used = 0; ///< Token seconds, as of `updated_at`.
        std::uint64_t held_tokens = 0;
        core::time_point updated_at;
    };

    static void advance(account& changed, core::time_point now);
    [[nodiscard]] static double work_of(account found, core::time_point now);
    void drop_unused(core::time_point now);

    std::map<core::organisation_name, account> accounts_;
};

} // namespace godwit::queueing
