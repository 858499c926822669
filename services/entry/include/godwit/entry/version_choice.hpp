#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/placer.hpp>

#include <tl/expected.hpp>

namespace godwit::entry {

/// Chooses a server for the call, of a version that it may use.
[[nodiscard]] tl::
    expected<placement::placement_choice, placement::placement_failure>
    choose_by_version(
        entry_context& context,
        const routed_call& call,
        const placement::placement_request& request,
        core::time_point now);

} // namespace godwit::entry
