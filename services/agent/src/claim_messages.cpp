#include "claim_messages.hpp"

#include <chrono>

namespace godwit::agent {

namespace {

wire::claim_obstacle to_obstacle(claims::unavailable_reason reason)
{
    switch (reason) {
    case claims::unavailable_reason::log_down:
        return wire::claim_obstacle::log_down;
    case claims::unavailable_reason::timed_out:
        return wire::claim_obstacle::timed_out;
    case claims::unavailable_reason::catching_up:
        return wire::claim_obstacle::catching_up;
    case claims::unavailable_reason::history_incomplete:
        return wire::claim_obstacle::history_incomplete;
    case claims::unavailable_reason::overloaded:
        return wire::claim_obstacle::overloaded;
    case claims::unavailable_reason::releasing:
        return wire::claim_obstacle::releasing;
    case claims::unavailable_reason::invalid_holder:
        return wire::claim_obstacle::invalid_holder;
    }
    return wire::claim_obstacle::log_down;
}

void stand_at(wire::claim_answer& message, const claims::claim_position& at)
{
    message.offset = at.offset;
    message.index = at.index;
}

void fill(wire::claim_answer& message, const claims::claim_won& answer)
{
    message.verdict = wire::claim_verdict::won;
    stand_at(message, answer.position);
    message.start_before_us = answer.start_before.time_since_epoch().count();
}

void fill(wire::claim_answer& message, const claims::claim_held& answer)
{
    message.verdict = wire::claim_verdict::held;
    stand_at(message, answer.position);
    message.holder = to_wire(answer.holder);
    message.holder_gone = answer.holder_gone;
}

void fill(wire::claim_answer& message, const claims::claim_finished& answer)
{
    message.verdict = wire::claim_verdict::finished;
    stand_at(message, answer.position);
    message.holder = to_wire(answer.holder);
    message.outcome = answer.outcome;
    message.answer_digest = answer.answer_digest;
}

void fill(wire::claim_answer& message, const claims::claim_unavailable& answer)
{
    message.verdict = wire::claim_verdict::unavailable;
    message.obstacle = to_obstacle(answer.reason);
    message.retry_after_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after)
            .count());
}

void fill(
    wire::claim_answer& message, const claims::claim_outside_window& /*answer*/)
{
    message.verdict = wire::claim_verdict::outside_window;
}

void fill(
    wire::claim_answer& message, const claims::claim_key_reused& /*answer*/)
{
    message.verdict = wire::claim_verdict::key_reused;
}

} // namespace

claims::claim_holder to_claims(const wire::claim_holder& holder)
{
    return {holder.host, holder.incarnation, holder.peer_address};
}

wire::claim_holder to_wire(const claims::claim_holder& holder)
{
    return {holder.host, holder.incarnation, holder.peer_address};
}

wire::claim_answer
to_wire(std::uint64_t ask, const claims::claim_answer& answer)
{
    wire::claim_answer message;
    message.ask = ask;
    std::visit([&](const auto& each) { fill(message, each); }, answer);
    return message;
}

} // namespace godwit::agent
