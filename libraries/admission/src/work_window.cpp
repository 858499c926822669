#include <godwit/admission/work_window.hpp>

namespace godwit::admission {

void work_window::add(const work_amount& work, core::time_point now)
{
    const std::int64_t number = now.time_since_epoch() / slot_length;
    slot& current = slots_[static_cast<std::size_t>(number) % slots];
    if (current.number != number)
        current = slot{number, {}};
    current.work += work;
}

work_amount work_window::sum(core::time_point now) const
{
    const std::int64_t newest = now.time_since_epoch() / slot_length;
    work_amount total;
    for (const slot& each : slots_) {
        if (newest - each.number < static_cast<std::int64_t>(slots))
            total += each.work;
    }
    return total;
}

} // namespace godwit::admission
