#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace godwit::placement {

/// How full the engines of other zones are whose hosts this host does not
/// hear one by one: the mean of each zone, as one of its hosts told it.
class zone_view
{
public:
    /// A mean counts this long; without one a zone is taken to be as full
    /// as the own one.
    static constexpr core::duration word_lifetime = std::chrono::seconds(3);

    /// The zones whose hosts are all heard.
    void set_heard(std::set<core::zone_name> zones);

    /// A host of `zone` said how many tokens an engine there has on average.
    void hear(
        const core::zone_name& zone,
        std::uint64_t tokens,
        core::time_point now);

    /// Whether the ledger knows the work at the engines of `zone`.
    [[nodiscard]] bool is_heard(const core::zone_name& zone) const;

    /// The mean of `zone`, if it was told lately.
    [[nodiscard]] std::optional<std::uint64_t>
    mean_tokens(const core::zone_name& zone, core::time_point now) const;

private:
    struct word
    {
        std::uint64_t tokens = 0;
        core::time_point heard_at;
    };

    bool is_partial_ = false;
    std::set<core::zone_name> heard_;
    std::map<core::zone_name, word> means_;
};

} // namespace godwit::placement
