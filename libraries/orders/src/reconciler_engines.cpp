// The reconciler's dealings with engines: reads, orders, their effects.

#include "reconciler_state.hpp"

#include <algorithm>

namespace godwit::orders {

namespace {

constexpr std::size_t percent = 100;
constexpr double microseconds_per_second = 1e6;

bool has_effect(const engine_state& state, const engine_order& order)
{
    switch (order.kind) {
    case order_kind::load:
        return model_choice{order.model, order.adapter, order.version}
            .served_by(state);
    case order_kind::unload:
        return order.adapter.empty() ? !state.models.contains(order.model)
                                     : !state.adapters.contains(order.adapter);
    case order_kind::role:
        return state.role == order.role;
    }
    return true;
}

} // namespace

// The engine whose request this was; nothing if the request is not the one
// under way, as after a lease was dropped.
engine_work* reconciler::state::request_ended(
    const core::server_address& engine, std::uint64_t request)
{
    const auto service = engines_.find(engine);
    if (service == engines_.end())
        return nullptr;
    const auto held = held_.find(service->second);
    if (held == held_.end())
        return nullptr;
    const auto work = held->second.engines.find(engine);
    if (work == held->second.engines.end() || work->second.request != request)
        return nullptr;
    work->second.request = 0;
    return &work->second;
}

void reconciler::state::on(const engine_read& event)
{
    auto* engine = request_ended(event.engine, event.request);
    if (engine == nullptr)
        return;
    engine->observed = event.state;
    engine->read_at = now_;
    look_at_effect(*engine);
}

// A state that cannot be read is not known any more.
void reconciler::state::on(const engine_read_failed& event)
{
    auto* engine = request_ended(event.engine, event.request);
    if (engine == nullptr)
        return;
    engine->observed.reset();
    engine->read_at = now_;
}

void reconciler::state::on(const order_accepted& event)
{
    if (auto* engine = request_ended(event.engine, event.request)) {
        engine->fenced = true;
        engine->read_at.reset();
    }
}

// A newer number exists: somebody else was granted the lease.
void reconciler::state::on(const order_refused& event)
{
    const auto* engine = request_ended(event.engine, event.request);
    if (engine == nullptr)
        return;
    ++counts_.orders_refused;
    const auto held = held_.find(engines_.at(event.engine));
    bool nothing_raised = false;
    raise(orders_alarm::refused, held->first, nothing_raised);
    // An engine that knows a number from elsewhere must not make this agent
    // ask the log over and over.
    held_off_.insert_or_assign(held->first, now_ + settings_.lease_length);
    drop(held);
    leases_.begin_epoch();
}

void reconciler::state::on(const order_not_sent& event)
{
    if (auto* engine = request_ended(event.engine, event.request))
        engine->pending.reset();
}

// It may have taken effect, now or later; the state read back tells, and an
// order given twice does no more than once.
void reconciler::state::on(const order_lost& event)
{
    if (auto* engine = request_ended(event.engine, event.request)) {
        ++counts_.orders_lost;
        engine->read_at.reset();
    }
}

void reconciler::state::time_out_requests()
{
    for (auto& [name, work] : held_) {
        for (auto& [address, engine] : work.engines) {
            if (engine.request == 0 ||
                now_ - engine.requested_at < settings_.answer_timeout)
                continue;
            engine.request = 0;
            if (engine.request_is_order) {
                ++counts_.orders_lost;
                engine.read_at.reset();
                continue;
            }
            engine.observed.reset();
            engine.read_at = now_;
        }
    }
}

void reconciler::state::look_at_effect(engine_work& engine)
{
    if (!engine.pending || !engine.observed)
        return;
    const bool done = has_effect(*engine.observed, *engine.pending);
    if (done || now_ - engine.ordered_at >= settings_.repeat_after)
        engine.pending.reset();
}

void reconciler::state::work_on(const core::service_name& name, pool_work& work)
{
    if (!pools_.contains(name))
        return;
    give_orders(name, work);
    read_engines(work);
}

core::time_point reconciler::state::read_due_at(const engine_work& engine) const
{
    if (!engine.read_at)
        return now_;
    return *engine.read_at + (engine.pending ? settings_.pending_interval
                                             : settings_.verify_interval);
}

bool reconciler::state::read_due(const engine_work& engine) const
{
    return engine.request == 0 && read_due_at(engine) <= now_;
}

void reconciler::state::read_engines(pool_work& work)
{
    for (auto& [address, engine] : work.engines) {
        if (!read_due(engine))
            continue;
        engine.request = ++last_request_;
        engine.request_is_order = false;
        engine.requested_at = now_;
        actions_.emplace_back(read_engine{address, engine.request});
    }
}

void reconciler::state::give_orders(
    const core::service_name& name, pool_work& work)
{
    const auto& wanted = pools_.at(name);
    std::vector<engine_view> views;
    views.reserve(work.engines.size());
    for (const auto& [address, engine] : work.engines) {
        // A state from before the last order's answer is not known any more.
        const bool fresh = engine.read_at.has_value();
        const bool asked = engine.request != 0 && engine.request_is_order;
        views.push_back(
            {address,
             engine.observed,
             asked || engine.pending.has_value() || !fresh});
    }
    const auto limit = std::max<std::size_t>(
        1, views.size() * settings_.disrupted_percent / percent);
    const auto plan = plan_pool(wanted, std::move(views), limit);
    work.reached = plan.reached;
    if (plan.missing_engines > 0)
        raise(orders_alarm::missing_engines, name, work.missing_alarmed);
    else
        work.missing_alarmed = false;
    if (plan.held_back > 0)
        raise(orders_alarm::held_back, name, work.held_back_alarmed);
    else
        work.held_back_alarmed = false;
    for (const auto& planned : plan.orders) {
        if (work.engines.at(planned.address).request != 0)
            continue;
        if (planned.fetches_weights) {
            if (now_ < work.next_load_at)
                continue;
            work.next_load_at = now_ + load_interval();
            ++counts_.loads_sent;
        }
        send(work, planned.address, planned.order);
    }
    if (wanted.checks_fencing)
        fence(wanted, work);
}

// An engine that nothing has to change at still has to learn the number, or
// it would take a late order of the holder before.
void reconciler::state::fence(const pool& wanted, pool_work& work)
{
    for (auto& [address, engine] : work.engines) {
        if (engine.fenced || engine.request != 0 || engine.pending ||
            !engine.observed || !engine.read_at)
            continue;
        if (engine.observed->highest_fencing >= work.fencing) {
            engine.fenced = true;
            continue;
        }
        for (const auto& target : wanted.targets) {
            if (!target.choice.served_by(*engine.observed))
                continue;
            const auto& choice = target.choice;
            send(
                work,
                address,
                {order_kind::load,
                 choice.model,
                 choice.adapter,
                 choice.version,
                 {}});
            break;
        }
    }
}

void reconciler::state::send(
    pool_work& work,
    const core::server_address& address,
    const engine_order& order)
{
    auto& engine = work.engines.at(address);
    engine.request = ++last_request_;
    engine.request_is_order = true;
    engine.requested_at = now_;
    engine.pending = order;
    engine.ordered_at = now_;
    ++counts_.orders_sent;
    actions_.emplace_back(send_order{
        address, engine.request, work.fencing, order, work.valid_until});
}

// Every pool gets the same part of the weight store's rate, known to all
// holders without a word between them.
core::duration reconciler::state::load_interval() const
{
    std::size_t with_targets = 0;
    for (const auto& [name, wanted] : pools_)
        with_targets += wanted.targets.empty() ? 0 : 1;
    const double rate =
        settings_.weight_store_rate * settings_.weight_store_share /
        static_cast<double>(std::max<std::size_t>(1, with_targets));
    return core::duration(
        static_cast<core::duration::rep>(microseconds_per_second / rate));
}

} // namespace godwit::orders
