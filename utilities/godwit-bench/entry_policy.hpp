#pragma once

#include <godwit/core/time.hpp>
#include <godwit/dispatch/action.hpp>
#include <godwit/dispatch/event.hpp>

#include <concepts>
#include <vector>

namespace godwit::bench {

/// What decides for an entry host in the bench: the scheduler or a baseline.
template<class Policy>
concept entry_policy =
    requires(Policy policy, const dispatch::event& event, core::time_point now)
{
    {
        policy.handle(event, now)
        } -> std::same_as<std::vector<dispatch::action>>;
};

} // namespace godwit::bench
