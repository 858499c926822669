#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// How often waiting requests try again and lapsed servers are looked at.
constexpr core::duration tick_span = std::chrono::milliseconds(50);
// A balancer asks each second and takes a host out after two misses; new
// connections come that long after the order to stop.
constexpr core::duration accepting_after_stop = std::chrono::milliseconds(2600);
// What is left of the grace for closing sockets and ending.
constexpr core::duration exit_margin = std::chrono::milliseconds(350);
constexpr core::duration stop_watch_span = std::chrono::milliseconds(50);
// The table's limits come from outside; a buffer of this size a connection
// is the most that the memory of a small host can bear.
constexpr std::size_t most_header_bytes = std::size_t{256} * 1024;

http::server_limits
caller_limits(const routing::caller_limits& limits, std::size_t connections)
{
    http::server_limits made;
    made.header_bytes = std::min(limits.header_bytes, most_header_bytes);
    made.body_bytes = limits.body_bytes;
    made.header_timeout = limits.header_timeout;
    made.idle_timeout = limits.idle_timeout;
    made.connections = connections;
    return made;
}

} // namespace

core::result<std::unique_ptr<entry_process>> entry_process::create(
    asio::io_context& io, entry_settings settings, const dialect& words)
{
    std::unique_ptr<entry_process> made(
        new entry_process(io, std::move(settings), words));
    const auto listening = made->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    return made;
}

entry_process::entry_process(
    asio::io_context& io, entry_settings settings, const dialect& words)
    : io_(io), context_(io.get_executor(), std::move(settings), words),
      calls_(context_), signals_(io), tick_timer_(io), stop_timer_(io)
{}

core::result<void> entry_process::listen()
{
    http::server_settings callers{
        .address = context_.settings.callers,
        .limits = caller_limits(
            routing::caller_limits(), context_.settings.caller_connections),
        .on_rejection = &make_rejection_answer};
    callers_ = GODWIT_TRY(http::server::create(
        io_,
        std::move(callers),
        [this](http::exchange& caller) -> asio::awaitable<void> {
            co_await calls_.serve(caller);
        }));
    readiness_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{context_.settings.readiness, {}, {}},
        [this](http::exchange& asked) -> asio::awaitable<void> {
            co_await answer_readiness(asked);
        }));
    operators_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{context_.settings.operators, {}, {}},
        [this](http::exchange& asked) -> asio::awaitable<void> {
            co_await answer_operator(asked);
        }));
    return {};
}

void entry_process::start()
{
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.add(SIGHUP, ignored);
    wait_for_signal();
    tick();
    log_event(
        log_level::info,
        component,
        "start",
        {{"callers", context_.settings.callers.to_string()},
         {"operators", context_.settings.operators.to_string()}});
}

bool entry_process::is_ready() const noexcept
{
    return context_.routes && has_servers_ && !context_.is_stopping;
}

asio::awaitable<void> entry_process::answer_readiness(http::exchange& asked)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    const bool ready = is_ready();
    if (ready != was_ready_)
        log_event(log_level::info, component, "readiness", {{"ready", ready}});
    was_ready_ = ready;
    http::response answer;
    answer.status = ready ? ok : unavailable;
    answer.fields.set("Content-Type", "text/plain");
    answer.body = ready ? "ready\n" : "not ready\n";
    [[maybe_unused]] const auto sent =
        co_await asked.respond(std::move(answer));
}

std::string entry_process::state_text() const
{
    boost::json::object state;
    state["host"] = context_.settings.host.value();
    state["ready"] = is_ready();
    state["stopping"] = context_.is_stopping;
    state["table_version"] = context_.routes ? context_.routes->version() : 0;
    state["servers"] = context_.directory.size();
    state["streams"] = context_.streams.size();
    state["waiting"] = context_.line.size();
    state["connections"] = callers_->open_connections();
    return boost::json::serialize(state);
}

asio::awaitable<void> entry_process::answer_operator(http::exchange& asked)
{
    constexpr unsigned not_found = 404;
    http::response answer;
    answer.fields.set("Content-Type", "application/json");
    if (asked.received().target == "/state") {
        answer.body = state_text();
    } else {
        answer.status = not_found;
        answer.body = R"({"title":"no such page; ask for /state"})";
    }
    [[maybe_unused]] const auto sent =
        co_await asked.respond(std::move(answer));
}

void entry_process::take_routes(
    std::shared_ptr<const routing::route_table> routes, std::string_view source)
{
    const std::uint64_t before =
        context_.routes ? context_.routes->version() : 0;
    if (context_.routes && routes->version() <= before)
        return;
    const auto& content = routes->content();
    callers_->set_limits(
        caller_limits(content.limits, context_.settings.caller_connections));
    log_event(
        log_level::info,
        component,
        "routes_in_force",
        {{"version", routes->version()},
         {"before", before},
         {"source", source},
         {"routes", content.routes.size()},
         {"organisations", content.organisations.size()}});
    context_.routes = std::move(routes);
}

void entry_process::server_listed(
    const placement::backend_server& server, std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const auto change = context_.directory.listed(server, now);
    if (change == placement::directory_change::left)
        left(server.id, source);
    if (change != placement::directory_change::appeared)
        return;
    context_.connections->forget(server.address);
    log_event(
        log_level::info,
        component,
        "server_appeared",
        {{"server", server.id},
         {"service", server.service},
         {"address", server.address.to_string()},
         {"source", source}});
    context_.line.wake();
}

void entry_process::server_delisted(
    const placement::server_id& server,
    placement::source_state state,
    std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const auto change = context_.directory.delisted(server, state, now);
    if (change == placement::directory_change::left)
        left(server, source);
}

void entry_process::left(
    const placement::server_id& server, std::string_view source)
{
    log_event(
        log_level::info,
        component,
        "server_left",
        {{"server", server}, {"source", source}});
    context_.health.forget(server);
    context_.streams.server_leaves(server);
}

void entry_process::servers_are_known()
{
    has_servers_ = true;
}

void entry_process::tick()
{
    for (const auto& gone : context_.directory.expire(core::monotonic_now()))
        left(gone, "lapsed");
    context_.line.wake();
    tick_timer_.expires_after(tick_span);
    tick_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            tick();
    });
}

void entry_process::wait_for_signal()
{
    signals_.async_wait([this](const auto& failure, int number) {
        if (failure)
            return;
        on_signal(number);
        wait_for_signal();
    });
}

void entry_process::on_signal(int number)
{
    log_event(log_level::info, component, "signal", {{"number", number}});
    if (number == SIGHUP || context_.is_stopping)
        return;
    begin_stop();
}

// Readiness fails at once and each answer ends its connection, so that
// callers move away; new connections are served until the balancer has
// noticed, and what runs is served to its end.
void entry_process::begin_stop()
{
    context_.is_stopping = true;
    stop_began_ = core::monotonic_now();
    callers_->announce_close();
    log_event(
        log_level::info,
        component,
        "stop",
        {{"requests", callers_->active_exchanges()}});
    watch_stop();
}

void entry_process::watch_stop()
{
    const core::duration since = core::monotonic_now() - stop_began_;
    if (since >= accepting_after_stop)
        callers_->stop_accepting();
    const bool is_idle =
        since >= accepting_after_stop && callers_->open_connections() == 0;
    if (is_idle || since >= context_.settings.stop_grace - exit_margin) {
        log_event(
            log_level::info,
            component,
            "end",
            {{"requests_cut", callers_->active_exchanges()}});
        io_.stop();
        return;
    }
    stop_timer_.expires_after(stop_watch_span);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            watch_stop();
    });
}

} // namespace godwit::entry
