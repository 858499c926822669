#include <godwit/entry/hedge_timing.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

namespace {

// Statements change within hundreds of milliseconds, and the shortest calls
// take tens.
constexpr core::duration check_interval = std::chrono::milliseconds(20);

bool is_idempotent(const routed_call& call)
{
    return call.route.retries == routing::retry_semantics::idempotent;
}

} // namespace

hedge_timing::hedge_timing(
    const entry_context& context,
    const routed_call& call,
    placement::server_id server,
    core::time_point sent_at)
    : context_(context), call_(call), server_(std::move(server)),
      sent_at_(sent_at)
{}

bool hedge_timing::is_due(unsigned runs, core::time_point now) const
{
    if (context_.is_stopping() || now >= call_.deadline)
        return false;
    return context_.hedging.should_hedge(
        call_.route.name,
        {is_idempotent(call_),
         runs,
         call_.route.max_attempts,
         is_stated_slow(context_, server_, now),
         now - sent_at_});
}

core::time_point hedge_timing::next_check(core::time_point now) const
{
    const auto delay = context_.hedging.delay(call_.route.name);
    return std::max(
        sent_at_ + delay.value_or(core::duration::zero()),
        now + check_interval);
}

bool hedge_timing::is_possible(
    const entry_context& context, const routed_call& call)
{
    return is_idempotent(call) && call.route.max_attempts > 1 &&
           !context.loads.empty();
}

bool is_stated_slow(
    const entry_context& context,
    const placement::server_id& server,
    core::time_point now)
{
    const auto stated = context.loads.at(server, now);
    return stated && stated->is_stated_slow;
}

} // namespace godwit::entry
