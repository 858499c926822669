#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>

#include <vector>

namespace godwit::entry {

/// Applies the request quarantine to one call.
class quarantine_gate
{
public:
    explicit quarantine_gate(entry_context& context) : context_(context) {}

    /// Returns whether the call must not be sent because its request or a part
    /// of its prompt is quarantined. Once a call is permitted as a trial, it is
    /// never refused.
    [[nodiscard]] bool refuses(const routed_call& call);

private:
    using fingerprints = std::vector<admission::request_fingerprint>;

    [[nodiscard]] fingerprints suspects_of(const routed_call& call) const;
    [[nodiscard]] bool start_trial(
        const routed_call& call,
        const fingerprints& quarantined,
        core::duration delay);

    entry_context& context_;
    bool is_trial_ = false;
};

} // namespace godwit::entry
