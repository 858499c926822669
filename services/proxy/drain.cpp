#include "drain.hpp"

#include "request_session.hpp"

#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "drain";
constexpr std::chrono::milliseconds watch_interval{10};

// After a cut the callers are told; this many looks is what that may take.
constexpr std::size_t most_polls_after_cut = 50;

} // namespace

drain::drain(
    asio::io_context& control,
    drain_settings settings,
    process_state& state,
    session_registry& registry,
    http::server& callers,
    std::function<void(std::size_t)> on_end)
    : settings_(settings), state_(state), registry_(registry),
      callers_(callers), on_end_(std::move(on_end)),
      signals_(control, SIGTERM, SIGINT), readiness_timer_(control),
      limit_timer_(control), watch_timer_(control)
{}

void drain::start()
{
    wait_for_signal();
}

void drain::wait_for_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failure, int number) {
            if (failure)
                return;
            on_signal(number);
            wait_for_signal();
        });
}

void drain::on_signal(int number)
{
    log_event(
        log_level::info,
        component,
        "signal",
        {{"number", number}, {"in_flight", registry_.size()}});
    if (state_.draining.exchange(true))
        cut("second_signal");
    else
        begin();
}

void drain::begin()
{
    registry_.broadcast(request::drain_began{});
    readiness_timer_.expires_after(settings_.readiness);
    readiness_timer_.async_wait(
        [this](const boost::system::error_code& failed) {
            if (!failed)
                end_listening();
        });
    limit_timer_.expires_after(settings_.limit);
    limit_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            cut("limit");
    });
}

void drain::end_listening()
{
    callers_.stop_accepting();
    log_event(
        log_level::info,
        component,
        "listening_ended",
        {{"in_flight", registry_.size()}});
    watch();
}

void drain::watch()
{
    if (cutting_ || ended_)
        return;
    if (registry_.size() == 0 && callers_.active_exchanges() == 0) {
        end(0);
        return;
    }
    watch_timer_.expires_after(watch_interval);
    watch_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            watch();
    });
}

void drain::cut(const char* why)
{
    if (std::exchange(cutting_, true))
        return;
    readiness_timer_.cancel();
    limit_timer_.cancel();
    watch_timer_.cancel();
    callers_.stop_accepting();
    const auto sessions = registry_.all();
    for (const auto& session : sessions)
        log_event(
            log_level::error,
            component,
            "request_cut",
            {{"request", session->id()},
             {"service", session->service()},
             {"why", why}});
    registry_.broadcast(request::drain_limit{});
    watch_cut(sessions.size());
}

void drain::watch_cut(std::size_t cut_requests)
{
    const bool told = registry_.size() == 0 && callers_.active_exchanges() == 0;
    if (told || ++polls_after_cut_ > most_polls_after_cut) {
        end(cut_requests);
        return;
    }
    watch_timer_.expires_after(watch_interval);
    watch_timer_.async_wait(
        [this, cut_requests](const boost::system::error_code& failed) {
            if (!failed)
                watch_cut(cut_requests);
        });
}

void drain::end(std::size_t cut_requests)
{
    ended_ = true;
    readiness_timer_.cancel();
    limit_timer_.cancel();
    signals_.cancel();
    log_event(
        cut_requests == 0 ? log_level::info : log_level::error,
        component,
        "ended",
        {{"cut", cut_requests}});
    on_end_(cut_requests);
}

} // namespace godwit::proxy
