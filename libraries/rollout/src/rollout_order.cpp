#include <godwit/rollout/rollout_order.hpp>

namespace godwit::rollout {

std::string_view to_string(rollout_state state) noexcept
{
    switch (state) {
    case rollout_state::running:
        return "running";
    case rollout_state::rolled_back:
        return "rolled_back";
    case rollout_state::completed:
        return "completed";
    }
    return "running";
}

} // namespace godwit::rollout
