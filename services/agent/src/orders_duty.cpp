#include "orders_duty.hpp"

#include "engine_client.hpp"

#include <godwit/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace godwit::agent {

namespace {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

constexpr const char* component = "orders";
constexpr const char* stream_name = "orders";

orders::records_read
to_orders(const orders::read_log& asked, platform::log_page page)
{
    orders::records_read event{
        .read = asked.read,
        .first = page.first,
        .next = page.next,
        .records = {}};
    event.records.reserve(page.records.size());
    for (platform::log_record& record : page.records)
        event.records.push_back(
            {record.offset,
             orders::log_time(record.time_ms),
             std::move(record.data)});
    return event;
}

// What an order came to, as the reconciler hears of it.
struct outcome_to_event
{
    const orders::send_order& action;

    orders::reconciler_event operator()(const order_taken&) const
    {
        return orders::order_accepted{action.engine, action.request};
    }

    orders::reconciler_event operator()(const order_fenced& refused) const
    {
        return orders::order_refused{
            action.engine, action.request, refused.highest_fencing};
    }

    orders::reconciler_event operator()(const order_too_late&) const
    {
        return orders::order_not_sent{action.engine, action.request};
    }

    orders::reconciler_event operator()(const order_unanswered&) const
    {
        return orders::order_lost{action.engine, action.request};
    }
};

} // namespace

core::result<std::shared_ptr<orders_duty>> orders_duty::create(
    const asio::any_io_executor& executor,
    const orders::reconciler_settings& settings,
    platform::log_client& client)
{
    auto reconciler =
        GODWIT_TRY(orders::reconciler::create(settings, core::monotonic_now()));
    return std::shared_ptr<orders_duty>(
        new orders_duty(executor, settings, std::move(reconciler), client));
}

orders_duty::orders_duty(
    const asio::any_io_executor& executor,
    const orders::reconciler_settings& settings,
    orders::reconciler reconciler,
    platform::log_client& client)
    : executor_(executor), timer_(executor), settings_(settings),
      reconciler_(std::move(reconciler)), client_(client)
{}

void orders_duty::start()
{
    handle(orders::tick{});
}

void orders_duty::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void orders_duty::handle(const orders::reconciler_event& event)
{
    if (stopped_)
        return;
    const auto actions = reconciler_.handle(event, core::monotonic_now());
    for (const orders::reconciler_action& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
    sleep();
}

void orders_duty::sleep()
{
    if (stopped_)
        return;
    const auto wait = reconciler_.next_wakeup() - core::monotonic_now();
    timer_.expires_after(std::max(wait, core::duration(0)));
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& code) {
            const auto self = weak.lock();
            if (!code && self)
                self->handle(orders::tick{});
        });
}

void orders_duty::perform(const orders::append_record& action)
{
    client_.append(
        stream_name,
        action.data,
        platform::append_pacing::host_share,
        [self = shared_from_this(),
         append = action.append](const platform::append_result& result) {
            if (result)
                self->handle(orders::append_answered{append});
            else
                self->handle(orders::append_failed{append});
        });
}

void orders_duty::perform(const orders::read_log& action)
{
    client_.read(
        {.stream = stream_name,
         .from = action.from,
         .limit = action.limit,
         .wait = action.wait},
        [self = shared_from_this(),
         action](core::result<platform::log_page> page) {
            if (page)
                self->handle(to_orders(action, std::move(*page)));
            else
                self->handle(orders::read_failed{action.read});
        });
}

void orders_duty::perform(const orders::read_engine& action)
{
    const auto engine = http::endpoint::parse(action.engine.value());
    if (!engine) {
        asio::post(executor_, [self = shared_from_this(), action] {
            self->handle(
                orders::engine_read_failed{action.engine, action.request});
        });
        return;
    }
    asio::co_spawn(
        executor_,
        read_engine_state(*engine, settings_.answer_timeout),
        [self = shared_from_this(), action](
            const std::exception_ptr& broken,
            core::result<orders::engine_state> state) {
            if (broken)
                std::rethrow_exception(broken);
            if (state)
                self->handle(orders::engine_read{
                    action.engine, action.request, std::move(*state)});
            else
                self->handle(
                    orders::engine_read_failed{action.engine, action.request});
        });
}

void orders_duty::perform(const orders::send_order& action)
{
    const auto engine = http::endpoint::parse(action.engine.value());
    if (!engine) {
        asio::post(executor_, [self = shared_from_this(), action] {
            self->order_done(action, order_too_late{});
        });
        return;
    }
    asio::co_spawn(
        executor_,
        give_order(
            *engine,
            action.fencing,
            action.order,
            action.send_before,
            settings_.answer_timeout),
        [self = shared_from_this(), action](
            const std::exception_ptr& broken, const order_outcome& outcome) {
            if (broken)
                std::rethrow_exception(broken);
            self->order_done(action, outcome);
        });
}

void orders_duty::order_done(
    const orders::send_order& action, const order_outcome& outcome)
{
    const auto event = std::visit(outcome_to_event{action}, outcome);
    log_event(
        log_level::info,
        component,
        "order",
        {{"engine", action.engine},
         {"fencing", action.fencing},
         {"action", orders::to_string(action.order.kind)},
         {"model", action.order.model},
         {"version", action.order.version},
         {"taken", std::holds_alternative<order_taken>(outcome)}});
    handle(event);
}

void orders_duty::perform(const orders::raise_alarm& action)
{
    log_event(
        log_level::error,
        component,
        "alarm",
        {{"alarm", orders::to_string(action.alarm)}, {"service", action.pool}});
}

} // namespace godwit::agent
