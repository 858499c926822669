#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::fakes {

/// What an order changes.
enum class order_action
{
    load,
    unload,
    role,
};

/// An agent's order to an engine.
struct engine_order
{
    std::uint64_t fencing = 0;
    order_action action = order_action::load;
    std::string model; ///< For `role`: the role's name.
    std::string adapter;
    std::optional<std::string> version;
};

} // namespace godwit::fakes
