#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::orders {

/// What an order changes.
enum class order_kind
{
    load,   ///< Load the model and adapter at the version.
    unload, ///< Unload the adapter if one is named, else the model.
    role,   ///< Take the role.
};

/// The name of `kind` as engines and logs know it.
[[nodiscard]] std::string_view to_string(order_kind kind) noexcept;

/// An order to an engine: a state to come to, so that giving it twice does
/// no more than giving it once.
struct engine_order
{
    order_kind kind = order_kind::load;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

} // namespace godwit::orders
