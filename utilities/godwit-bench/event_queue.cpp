#include "event_queue.hpp"

namespace godwit::bench {

void event_queue::schedule(
    core::time_point at,
    event_kind kind,
    std::size_t subject,
    std::uint64_t number)
{
    events_.push(
        {.at = at,
         .order = next_order_++,
         .kind = kind,
         .subject = subject,
         .number = number});
}

std::optional<timed_event> event_queue::take(core::time_point end)
{
    if (events_.empty() || events_.top().at > end)
        return std::nullopt;
    const timed_event next = events_.top();
    events_.pop();
    now_ = next.at;
    return next;
}

} // namespace godwit::bench
