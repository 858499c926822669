#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>

namespace godwit::entry {

/// Applies the request quarantine to one call.
class quarantine_gate
{
public:
    explicit quarantine_gate(entry_context& context) : context_(context) {}

    /// Returns whether the call must not be sent because its request is
    /// quarantined. Once a call is permitted as a trial, it is never refused.
    [[nodiscard]] bool refuses(const routed_call& call);

private:
    entry_context& context_;
    bool is_trial_ = false;
};

} // namespace godwit::entry
