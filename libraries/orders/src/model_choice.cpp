#include <godwit/orders/model_choice.hpp>

namespace godwit::orders {

bool model_choice::served_by(const engine_state& state) const
{
    return state.version == version && state.models.contains(model) &&
           (adapter.empty() || state.adapters.contains(adapter));
}

} // namespace godwit::orders
