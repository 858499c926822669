#pragma once

#include <godwit/dispatch/policy.hpp>

namespace godwit::dispatch {

/// The catalogue in force changed.
struct policy_changed
{
    /// The whole new policy.
    policy value;

    friend bool
    operator==(const policy_changed&, const policy_changed&) = default;
};

} // namespace godwit::dispatch
