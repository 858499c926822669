#include "pool_planner.hpp"

#include <algorithm>
#include <utility>

namespace godwit::orders {

pool_planner::pool_planner(
    const pool& wanted,
    std::vector<engine_view> engines,
    std::size_t disrupted_limit)
    : wanted_(wanted), disrupted_limit_(disrupted_limit)
{
    std::sort(
        engines.begin(),
        engines.end(),
        [](const auto& left, const auto& right) {
            return left.address < right.address;
        });
    for (auto& view : engines) {
        const bool busy = view.busy;
        members_.push_back({std::move(view), nullptr, busy});
        disrupted_ += busy ? 1 : 0;
    }
}

pool_planner::closeness
pool_planner::compare(const engine_state& state, const model_choice& choice)
{
    if (!state.models.contains(choice.model))
        return closeness::nothing;
    if (state.version != choice.version)
        return closeness::model;
    if (!choice.served_by(state))
        return closeness::lacks_adapter;
    return closeness::serves;
}

bool pool_planner::serves_some_target(const engine_state& state) const
{
    return std::any_of(
        wanted_.targets.begin(),
        wanted_.targets.end(),
        [&state](const pool_target& target) {
            return target.choice.served_by(state);
        });
}

// The closest engines first, so that as few as can be change.
void pool_planner::assign()
{
    for (const auto level :
         {closeness::serves,
          closeness::lacks_adapter,
          closeness::model,
          closeness::nothing})
        for (const auto& target : wanted_.targets)
            assign_at(level, target);
}

void pool_planner::assign_at(closeness level, const pool_target& target)
{
    auto have = std::count_if(
        members_.begin(), members_.end(), [&target](const member& engine) {
            return engine.target == &target;
        });
    // An engine that serves another target without being needed for it stays
    // as it is while there are others to change.
    for (const bool spare : {false, true}) {
        for (auto& engine : members_) {
            if (have >= static_cast<std::ptrdiff_t>(target.replicas))
                return;
            if (engine.target != nullptr || !engine.view.observed ||
                compare(*engine.view.observed, target.choice) != level ||
                (level != closeness::serves &&
                 serves_some_target(*engine.view.observed) != spare))
                continue;
            engine.target = &target;
            ++have;
        }
    }
}

std::optional<planned_order>
pool_planner::next_order(const member& engine) const
{
    if (engine.target == nullptr)
        return surplus_order(engine);
    const auto& state = *engine.view.observed;
    const auto& choice = engine.target->choice;
    const auto& address = engine.view.address;
    if (!choice.served_by(state))
        return planned_order{
            address,
            {order_kind::load,
             choice.model,
             choice.adapter,
             choice.version,
             {}},
            true};
    for (const auto& model : state.models)
        if (model != choice.model)
            return planned_order{
                address, {order_kind::unload, model, {}, {}, {}}, false};
    for (const auto& adapter : state.adapters)
        if (adapter != choice.adapter)
            return planned_order{
                address,
                {order_kind::unload, choice.model, adapter, {}, {}},
                false};
    if (!engine.target->role.empty() && state.role != engine.target->role)
        return planned_order{
            address,
            {order_kind::role, {}, {}, {}, engine.target->role},
            false};
    return std::nullopt;
}

// An engine beyond the targets keeps what some target wants, and gives up
// the rest.
std::optional<planned_order>
pool_planner::surplus_order(const member& engine) const
{
    const auto& state = *engine.view.observed;
    if (serves_some_target(state))
        return std::nullopt;
    if (!state.adapters.empty())
        return planned_order{
            engine.view.address,
            {order_kind::unload, {}, *state.adapters.begin(), {}, {}},
            false};
    if (!state.models.empty())
        return planned_order{
            engine.view.address,
            {order_kind::unload, *state.models.begin(), {}, {}, {}},
            false};
    return std::nullopt;
}

engine_state pool_planner::after(engine_state state, const engine_order& order)
{
    switch (order.kind) {
    case order_kind::load:
        state.models.insert(order.model);
        if (!order.adapter.empty())
            state.adapters.insert(order.adapter);
        state.version = order.version;
        break;
    case order_kind::unload:
        if (order.adapter.empty())
            state.models.erase(order.model);
        else
            state.adapters.erase(order.adapter);
        break;
    case order_kind::role:
        state.role = order.role;
        break;
    }
    return state;
}

// Whether the engine serves less of what it serves now.
bool pool_planner::takes_away(
    const member& engine, const engine_order& order) const
{
    const auto& before = *engine.view.observed;
    const auto later = after(before, order);
    if (before.models.empty())
        return false;
    return before.version != later.version ||
           !std::includes(
               later.models.begin(),
               later.models.end(),
               before.models.begin(),
               before.models.end()) ||
           !std::includes(
               later.adapters.begin(),
               later.adapters.end(),
               before.adapters.begin(),
               before.adapters.end());
}

// Requests go to what is served now and to nothing else, so that is what
// must not vanish. Engines that change count for nothing: they may fail at
// it.
bool pool_planner::may_take_away(
    const member& engine, const engine_order& order) const
{
    const auto& before = *engine.view.observed;
    const auto later = after(before, order);
    if (!wanted_.serving.served_by(before) || wanted_.serving.served_by(later))
        return true;
    return std::any_of(
        members_.begin(), members_.end(), [&](const member& other) {
            return &other != &engine && !other.disrupted &&
                   other.view.observed &&
                   wanted_.serving.served_by(*other.view.observed);
        });
}

void pool_planner::give(member& engine, planned_order order, pool_plan& plan)
{
    if (takes_away(engine, order.order)) {
        if (disrupted_ >= disrupted_limit_)
            return;
        if (!may_take_away(engine, order.order)) {
            ++plan.held_back;
            return;
        }
        engine.disrupted = true;
        ++disrupted_;
    }
    plan.orders.push_back(std::move(order));
}

pool_plan pool_planner::make()
{
    assign();
    pool_plan plan;
    plan.reached = true;
    for (auto& engine : members_) {
        if (!engine.view.observed || engine.view.busy) {
            plan.reached = false;
            continue;
        }
        auto order = next_order(engine);
        if (!order)
            continue;
        plan.reached = false;
        give(engine, std::move(*order), plan);
    }
    std::size_t wanted = 0;
    for (const auto& target : wanted_.targets)
        wanted += target.replicas;
    if (wanted > members_.size()) {
        plan.missing_engines = wanted - members_.size();
        plan.reached = false;
    }
    return plan;
}

pool_plan plan_pool(
    const pool& wanted,
    std::vector<engine_view> engines,
    std::size_t disrupted_limit)
{
    return pool_planner(wanted, std::move(engines), disrupted_limit).make();
}

} // namespace godwit::orders
