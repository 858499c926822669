// The names of this library's enumerations.

#include <godwit/orders/engine_order.hpp>
#include <godwit/orders/reconciler_action.hpp>

namespace godwit::orders {

std::string_view to_string(order_kind kind) noexcept
{
    switch (kind) {
    case order_kind::load:
        return "load";
    case order_kind::unload:
        return "unload";
    case order_kind::role:
        return "role";
    }
    return "load";
}

std::string_view to_string(orders_alarm alarm) noexcept
{
    switch (alarm) {
    case orders_alarm::missing_engines:
        return "missing_engines";
    case orders_alarm::held_back:
        return "held_back";
    case orders_alarm::refused:
        return "refused";
    case orders_alarm::log_went_back:
        return "log_went_back";
    case orders_alarm::bad_record:
        return "bad_record";
    }
    return "refused";
}

} // namespace godwit::orders
