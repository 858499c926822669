#pragma once

#include <cstdint>

namespace godwit::placement {

/// What a load statement still says about its server, given its age.
struct effective_load
{
    double slowdown = 1.0;       ///< Factor by which work takes longer.
    double other_requests = 0.0; ///< Requests that no host has reported.
    std::uint32_t slots = 1;
    bool is_stated_slow = false;

    friend bool
    operator==(const effective_load&, const effective_load&) = default;
};

} // namespace godwit::placement
