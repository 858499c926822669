#pragma once

#include <compare>
#include <cstdint>

namespace godwit::catalogue {

/// What one organisation may use at once, over all entry hosts together.
struct organisation_limits
{
    std::uint32_t concurrency = 0;       ///< Requests in progress.
    std::uint32_t tokens_per_second = 0; ///< Generated tokens a second.

    friend bool operator==(
        const organisation_limits&, const organisation_limits&) = default;
};

} // namespace godwit::catalogue
