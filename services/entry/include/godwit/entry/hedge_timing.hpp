#pragma once

#include <godwit/admission/hedging_policy.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

/// Applies the hedging policy to one attempt of a call.
class hedge_timing
{
public:
    hedge_timing(
        const entry_context& context,
        const routed_call& call,
        placement::server_id server,
        core::time_point sent_at);

    /// Whether the attempt gets a second one now. `runs` counts the call's
    /// attempts so far, including the one that runs.
    [[nodiscard]] bool is_due(unsigned runs, core::time_point now) const;

    /// When `is_due` may hold next: a statement may arrive at any time.
    [[nodiscard]] core::time_point next_check(core::time_point now) const;

    /// Whether attempts of the call may be hedged at all. It never is while no
    /// server states its load.
    [[nodiscard]] static bool
    is_possible(const entry_context& context, const routed_call& call);

private:
    const entry_context& context_;
    const routed_call& call_;
    placement::server_id server_;
    core::time_point sent_at_;
};

/// Whether the server states that it is slow.
[[nodiscard]] bool is_stated_slow(
    const entry_context& context,
    const placement::server_id& server,
    core::time_point now);

} // namespace godwit::entry
