#include <godwit/fakes/order_state.hpp>

#include <algorithm>

namespace godwit::fakes {

bool order_state::apply(const engine_order& order)
{
    if (rule_ == fencing_rule::checked && order.fencing < highest_fencing_)
        return false;
    highest_fencing_ = std::max(highest_fencing_, order.fencing);
    switch (order.action) {
    case order_action::load:
        if (!order.model.empty())
            models_.insert(order.model);
        if (!order.adapter.empty())
            adapters_.insert(order.adapter);
        if (order.version)
            version_ = *order.version;
        break;
    case order_action::unload:
        // An order that names an adapter is about the adapter alone.
        if (!order.adapter.empty())
            adapters_.erase(order.adapter);
        else
            models_.erase(order.model);
        break;
    case order_action::role:
        role_ = order.model;
        break;
    }
    return true;
}

} // namespace godwit::fakes
