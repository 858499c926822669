#pragma once

#include <godwit/orders/pool_plan.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace godwit::orders {

/// Works out one plan; see `plan_pool`.
class pool_planner
{
public:
    pool_planner(
        const pool& wanted,
        std::vector<engine_view> engines,
        std::size_t disrupted_limit);

    [[nodiscard]] pool_plan make();

private:
    enum class closeness
    {
        nothing,       ///< Another model.
        model,         ///< The model at another version.
        lacks_adapter, ///< The model and version without the adapter.
        serves,        ///< Serves the target.
    };

    struct member
    {
        engine_view view;
        const pool_target* target = nullptr;
        bool disrupted = false;
    };

    [[nodiscard]] static closeness
    compare(const engine_state& state, const model_choice& choice);
    void assign();
    void assign_at(closeness level, const pool_target& target);
    [[nodiscard]] bool serves_some_target(const engine_state& state) const;
    [[nodiscard]] std::optional<planned_order>
    next_order(const member& engine) const;
    [[nodiscard]] std::optional<planned_order>
    surplus_order(const member& engine) const;
    [[nodiscard]] static engine_state
    after(engine_state state, const engine_order& order);
    [[nodiscard]] bool
    takes_away(const member& engine, const engine_order& order) const;
    [[nodiscard]] bool
    may_take_away(const member& engine, const engine_order& order) const;
    void give(member& engine, planned_order order, pool_plan& plan);

    const pool& wanted_;
    std::vector<member> members_;
    std::size_t disrupted_limit_;
    std::size_t disrupted_ = 0;
};

} // namespace godwit::orders
