#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/organisation_policy.hpp>
#include <godwit/dispatch/request_kind.hpp>

#include <cstdint>
#include <vector>

namespace godwit::dispatch {

struct flow;

/// What one organisation uses of its limits at this entry host.
class organisation_account
{
public:
    explicit organisation_account(organisation_policy limits);

    [[nodiscard]] const core::organisation_name& name() const noexcept
    {
        return limits_.name;
    }

    void limit(const organisation_policy& limits, core::time_point now);

    /// Whether one more request of `kind` may start.
    [[nodiscard]] bool allows(request_kind kind, core::time_point now) const;

    void started(request_kind kind);
    void ended(request_kind kind);

    /// Tokens arrived. They are paid afterwards, since their number is not
    /// known before: the level may go below zero, and the next start waits.
    void charge(double tokens, core::time_point now);

    /// When the token limit allows a start again.
    [[nodiscard]] core::time_point allowed_at(core::time_point now) const;

    /// Whether forgetting the account would change nothing.
    [[nodiscard]] bool idle(core::time_point now) const;

    /// Flows of the organisation that wait for its limits.
    std::vector<flow*> suspended;

    /// Flows of the organisation, over services and classes.
    std::uint32_t flow_count = 0;

    /// When the scheduler looks at the account again; `max` is never.
    core::time_point wake_at = core::time_point::max();

private:
    [[nodiscard]] double level(core::time_point now) const;

    organisation_policy limits_;
    std::uint32_t generations_ = 0;
    std::uint32_t calls_ = 0;
    double level_ = 0.0;
    core::time_point level_at_{};
};

} // namespace godwit::dispatch
