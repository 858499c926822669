#include "orders_duty.hpp"

#include "engine_messages.hpp"
#include "engine_pools.hpp"
#include "follow_log.hpp"

#include <godwit/http/fetch.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace godwit::agent {

namespace {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

constexpr const char* component = "orders";
constexpr const char* stream_name = "orders";
constexpr const char* target = "/orders";
constexpr std::size_t answer_limit = std::size_t{256} * 1024;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

} // namespace

core::result<std::shared_ptr<orders_duty>> orders_duty::create(
    const asio::any_io_executor& executor,
    const orders_settings& settings,
    platform::log_client& client)
{
    auto reconciler = GODWIT_TRY(
        orders::reconciler::create(settings.reconciler, core::monotonic_now()));
    return std::shared_ptr<orders_duty>(
        new orders_duty(executor, settings, std::move(reconciler), client));
}

orders_duty::orders_duty(
    const asio::any_io_executor& executor,
    const orders_settings& settings,
    orders::reconciler reconciler,
    platform::log_client& client)
    : executor_(executor), timer_(executor), settings_(settings),
      reconciler_(std::move(reconciler)), client_(client),
      pause_watch_(settings.pause_limit, core::monotonic_now()),
      pool_(http::connection_pool::create(executor, {}))
{}

void orders_duty::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void orders_duty::tick()
{
    if (!stopped_)
        look_for_pause();
}

void orders_duty::take_catalogue(const catalogue::state& content)
{
    auto event = pools_of(content);
    if (event.pools == pools_)
        return;
    pools_ = event.pools;
    handle(event);
}

void orders_duty::take_hosts(const platform::host_list& list)
{
    auto engines = engines_of(list);
    if (engines.engines != engines_) {
        engines_ = engines.engines;
        handle(engines);
    }
    orders::entry_hosts_changed entries;
    for (const platform::host_entry& host : list)
        if (host.kind == platform::host_kind::entry &&
            host.state == platform::host_state::live)
            entries.hosts.push_back(host.name);
    std::ranges::sort(entries.hosts);
    if (entries.hosts == entry_hosts_)
        return;
    entry_hosts_ = entries.hosts;
    handle(entries);
}

// Every event may be the first after a pause, whatever woke the process.
void orders_duty::handle(const orders::reconciler_event& event)
{
    if (stopped_)
        return;
    look_for_pause();
    carry_out(event);
}

void orders_duty::look_for_pause()
{
    const auto length = pause_watch_.observe(core::monotonic_now());
    if (!length)
        return;
    log_event(
        log_level::warning,
        component,
        "leases_dropped",
        {{"reason", "pause"},
         {"pause_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(*length)
              .count()}});
    carry_out(orders::resumed_after_pause{*length});
}

void orders_duty::carry_out(const orders::reconciler_event& event)
{
    const auto actions = reconciler_.handle(event, core::monotonic_now());
    for (const orders::reconciler_action& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
    report_leases();
    sleep();
}

void orders_duty::report_leases()
{
    const auto held = reconciler_.held().size();
    if (std::exchange(held_, held) != held)
        log_event(log_level::info, component, "leases", {{"held", held}});
}

void orders_duty::sleep()
{
    const auto wakeup = reconciler_.next_wakeup();
    if (stopped_ || wakeup == core::time_point::max()) {
        timer_.cancel();
        return;
    }
    const auto wait = wakeup - core::monotonic_now();
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
        platform::append_throttling::host_share,
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
    follow_log<orders::records_read, orders::read_failed>(
        client_,
        stream_name,
        action,
        [self = shared_from_this()](const auto& event) {
            self->handle(event);
        });
}

void orders_duty::perform(const orders::read_engine& action)
{
    spawn(exchange(action));
}

void orders_duty::perform(const orders::send_order& action)
{
    log_event(
        log_level::info,
        component,
        "order",
        {{"engine", action.engine},
         {"action", orders::to_string(action.order.kind)},
         {"model", action.order.model},
         {"version", action.order.version},
         {"fencing", action.fencing}});
    spawn(exchange(action));
}

void orders_duty::perform(const orders::raise_alarm& action)
{
    log_event(
        log_level::error,
        component,
        "alarm",
        {{"alarm", orders::to_string(action.alarm)}, {"pool", action.pool}});
}

void orders_duty::spawn(asio::awaitable<orders::reconciler_event> work)
{
    asio::co_spawn(
        executor_,
        std::move(work),
        [self = shared_from_this()](
            const std::exception_ptr& broken,
            const orders::reconciler_event& event) {
            if (broken)
                std::rethrow_exception(broken);
            self->handle(event);
        });
}

asio::awaitable<http::client_result<http::response>>
orders_duty::fetch(const core::server_address& engine, http::request request)
{
    auto server = http::endpoint::parse(engine.value());
    if (!server)
        co_return tl::unexpected(
            http::client_error{server.error(), http::bytes_handed_over::none});
    co_return co_await http::fetch(
        *pool_,
        std::move(*server),
        std::move(request),
        {.deadline = settings_.reconciler.answer_timeout,
         .body_bytes = answer_limit});
}

asio::awaitable<orders::reconciler_event>
orders_duty::exchange(orders::read_engine action)
{
    http::request request;
    request.target = target;
    const auto answer = co_await fetch(action.engine, std::move(request));
    if (answer && answer->status == status_ok) {
        auto state = decode_engine_state(answer->body);
        if (state)
            co_return orders::engine_read{
                action.engine, action.request, std::move(*state)};
    }
    co_return orders::engine_read_failed{action.engine, action.request};
}

asio::awaitable<orders::reconciler_event>
orders_duty::exchange(orders::send_order action)
{
    // Between the decision and this moment the process may have stood still.
    if (core::monotonic_now() >= action.send_before)
        co_return orders::order_not_sent{action.engine, action.request};
    http::request request;
    request.method = "POST";
    request.target = target;
    request.fields.set("Content-Type", "application/json");
    request.body = encode_order(action.order, action.fencing);
    const auto answer = co_await fetch(action.engine, std::move(request));
    if (answer && answer->status == status_ok)
        co_return orders::order_accepted{action.engine, action.request};
    if (answer && answer->status == status_conflict)
        co_return orders::order_refused{
            action.engine,
            action.request,
            decode_highest_fencing(answer->body)};
    co_return orders::order_lost{action.engine, action.request};
}

} // namespace godwit::agent
