#pragma once

#include <godwit/claims/claimer_settings.hpp>
#include <godwit/core/time.hpp>

#include <chrono>

namespace godwit::agent {

/// How the agent deals with requests that may not be repeated.
struct claims_settings
{
    claims::claimer_settings claimer;

    /// A proxy whose link broke counts as gone unless it is back by then.
    core::duration proxy_grace = std::chrono::seconds(3);

    friend bool
    operator==(const claims_settings&, const claims_settings&) = default;
};

} // namespace godwit::agent
