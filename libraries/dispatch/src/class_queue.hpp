#pragma once

#include "drain_meter.hpp"
#include "flow.hpp"
#include "tracked_request.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/class_policy.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace godwit::dispatch {

class organisation_table;

/// The requests of one class of one service, shared out fairly between
/// organisations by a virtual token counter (Sheng et al. 2024): the
/// organisation that received the fewest tokens is next. A returning one
/// starts at the current virtual time, so that idling earns nothing.
class class_queue
{
public:
    /// Organisations that left with more tokens than the others had, and are
    /// remembered until those catch up. Beyond this the least is forgotten.
    static constexpr std::size_t max_debtors = 1024;

    class_queue(class_policy limits, organisation_table& organisations);

    [[nodiscard]] const class_policy& limits() const noexcept
    {
        return limits_;
    }

    void limit(const class_policy& limits) { limits_ = limits; }

    /// The flow of the organisation, made if needed.
    [[nodiscard]] flow& flow_of(organisation_account& account);

    void push(tracked_request& request, core::time_point now);

    /// Takes a queued request out. `started` tells a start from a refusal.
    void remove(tracked_request& request, core::time_point now, bool started);

    /// The next request of the flow that was served least; null if no flow
    /// may start. Flows over their organisation's limits are suspended.
    [[nodiscard]] tracked_request* next(core::time_point now);

    /// Ends the suspension of a flow.
    void resume(flow& flow);

    /// Tokens reached a request of the flow.
    void charge(flow& flow, double tokens);

    /// A request of the flow ended; forgets a flow that became idle.
    void release(flow& flow, core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

    /// Whether forgetting the queue would change nothing.
    [[nodiscard]] bool idle() const noexcept { return flows_.empty(); }

    /// Expected time until the last queued request of `flow` starts; none if
    /// unknown.
    [[nodiscard]] std::optional<core::duration>
    expected_wait(const flow& flow) const;

    /// Starts a second while backlogged.
    [[nodiscard]] std::optional<double> drain_rate() const noexcept
    {
        return drain_.rate();
    }

    /// Tokens received by the class, divided by its weight.
    double served = 0.0;
    /// Starts of late, for the floor of starts.
    double recent_starts = 0.0;
    /// Prompt, received and expected tokens of its running generations.
    double memory_tokens = 0.0;

private:
    /// Orders flows by tokens received; ties must not depend on addresses.
    struct position
    {
        double served = 0.0;
        std::uint64_t number = 0;
        dispatch::flow* flow = nullptr;

        friend bool operator<(const position& left, const position& right)
        {
            return left.served != right.served ? left.served < right.served
                                               : left.number < right.number;
        }
    };

    [[nodiscard]] static position position_of(flow& flow) noexcept
    {
        return {.served = flow.served, .number = flow.number, .flow = &flow};
    }

    void activate(flow& flow);
    void forget_if_idle(flow& flow, core::time_point now);
    void forget(flow& flow, core::time_point now);
    void advance_virtual_time(double reached, core::time_point now);

    class_policy limits_;
    organisation_table* organisations_;
    std::unordered_map<core::organisation_name, flow> flows_;
    std::set<position> active_;
    std::set<position> debtors_;
    double virtual_time_ = 0.0;
    std::size_t size_ = 0;
    std::uint64_t next_number_ = 0;
    drain_meter drain_;
};

} // namespace godwit::dispatch
