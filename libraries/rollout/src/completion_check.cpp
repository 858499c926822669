#include <godwit/rollout/completion_check.hpp>

namespace godwit::rollout {

// A target that has too few servers may get more until the deadline.
completion completion_check::decide(
    const rollout_status& status,
    bool is_final,
    const version_capacity& capacity,
    core::time_point now)
{
    if (!is_final)
        return completion::wait;
    if (!capacity.is_target_sufficient()) {
        const bool is_over = now - status.ordered_at >= status.order.duration;
        return is_over ? completion::give_up : completion::wait;
    }
    if (!capacity.is_former_idle()) {
        busy_at_.insert_or_assign(status.order.service, now);
        return completion::wait;
    }
    const auto busy = busy_at_.find(status.order.service);
    const bool is_idle =
        busy == busy_at_.end() || now - busy->second >= idle_time;
    return is_idle ? completion::complete : completion::wait;
}

} // namespace godwit::rollout
