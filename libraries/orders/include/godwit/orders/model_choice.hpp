#pragma once

#include <godwit/orders/engine_state.hpp>

#include <compare>
#include <string>

namespace godwit::orders {

/// What an engine can serve: a model, perhaps with an adapter, at a version.
struct model_choice
{
    std::string model;
    std::string adapter; ///< Empty: none.
    std::string version;

    /// Whether an engine in this state serves it.
    [[nodiscard]] bool served_by(const engine_state& state) const;

    friend bool operator==(const model_choice&, const model_choice&) = default;
    friend auto operator<=>(const model_choice&, const model_choice&) = default;
};

} // namespace godwit::orders
