#include <godwit/queueing/slot_yields.hpp>

#include <algorithm>

namespace godwit::queueing {

namespace {

// A waiting request looks for slots at least at each tick of its host, 50 ms.
// A slot that it did not find for twice that time was taken meanwhile, and the
// server's next free slot is another one.
constexpr core::duration slot_lifetime = std::chrono::milliseconds(100);
} // namespace

// The others leave a slot to the first request only for a short time, so that
// it has to look for slots more often than once a tick of its host.
core::duration slot_yields::attempt_interval(std::size_t outranking) noexcept
{
    constexpr std::size_t max_steps = max_attempt_interval / delay_per_request;
    return delay_per_request * std::min(outranking + 1, max_steps);
}

core::duration slot_yields::delay(
    const core::service_name& service,
    const placement::server_id& server,
    std::size_t outranking,
    core::time_point now)
{
    std::erase_if(slots_, [now](const auto& each) {
        return now - each.second.last_found_at > slot_lifetime;
    });
    constexpr std::size_t max_steps = max_delay / delay_per_request;
    const core::duration limit =
        delay_per_request * std::min(outranking, max_steps);
    const bool is_new = slots_.find(service) == slots_.end();
    if (is_new && slots_.size() >= max_services)
        return core::duration::zero();
    free_slot& slot = slots_[service];
    // Another server's slot is found once this one's was taken.
    if (is_new || slot.server != server)
        slot = free_slot{server, now, now};
    slot.last_found_at = now;
    const core::duration remaining = slot.found_at + limit - now;
    if (remaining > core::duration::zero())
        return std::min(remaining, max_attempt_interval);
    slots_.erase(service);
    return core::duration::zero();
}

} // namespace godwit::queueing
