#include <godwit/entry/entry_process.hpp>

#include <godwit/admission/shutdown_schedule.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <csignal>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
constexpr core::duration stop_check_interval = std::chrono::milliseconds(50);
// Time for the last responses to be written on a host that notices the end of
// its shutdown late, because it was suspended or had no processor time.
constexpr core::duration min_response_time = std::chrono::milliseconds(100);

} // namespace

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
    if (number == SIGHUP)
        reload();
    if (number == SIGHUP || context_.is_stopping())
        return;
    begin_stop();
}

// Readiness probes fail at once and each response closes its connection, so
// that callers move to other hosts. New connections are served until the load
// balancer has noticed, and running requests are served to their end.
void entry_process::begin_stop()
{
    context_.shutdown = admission::shutdown_schedule::create(
        core::monotonic_now(), context_.settings.stop_grace);
    callers_->set_shedding(false);
    callers_->announce_close();
    log_event(
        log_level::info,
        component,
        "stop",
        {{"requests", callers_->active_exchanges()}});
    context_.calls.notify_shutdown();
    check_stop();
}

void entry_process::check_stop()
{
    const core::time_point now = core::monotonic_now();
    const admission::shutdown_schedule& schedule = *context_.shutdown;
    if (now >= schedule.accept_end())
        callers_->stop_accepting();
    if (now >= schedule.response_end())
        respond_to_all(now);
    const bool is_idle = now >= schedule.accept_end() &&
                         callers_->open_connections() == 0 &&
                         tunnels_->open_tunnels() == 0;
    const bool is_over =
        now >= schedule.end() && now - responding_since_ >= min_response_time;
    if (is_idle || is_over) {
        end();
        return;
    }
    stop_timer_.expires_after(stop_check_interval);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            check_stop();
    });
}

// Whatever was read gets a response before the process ends, also what is still
// being read.
void entry_process::respond_to_all(core::time_point now)
{
    if (responding_since_ == core::time_point())
        responding_since_ = now;
    context_.calls.notify_response_due();
    callers_->reject_unread();
}

void entry_process::end()
{
    log_event(
        log_level::info,
        component,
        "end",
        {{"requests_cut", callers_->active_exchanges()},
         {"tunnels_cut", tunnels_->open_tunnels()}});
    context_.calls.log_unanswered();
    io_.stop();
}

} // namespace godwit::entry
