#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <csignal>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// Time after the stop signal during which new connections are accepted. A load
// balancer probes once a second and removes a host after two failures; until
// then new connections arrive.
constexpr core::duration accept_duration_after_stop =
    std::chrono::milliseconds(2600);
// The part of the grace period that is left for closing sockets and ending.
constexpr core::duration exit_margin = std::chrono::milliseconds(350);
constexpr core::duration stop_check_interval = std::chrono::milliseconds(50);

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
    if (number == SIGHUP || context_.is_stopping)
        return;
    begin_stop();
}

// Readiness probes fail at once and each response closes its connection, so
// that callers move to other hosts. New connections are served until the load
// balancer has noticed, and running requests are served to their end.
void entry_process::begin_stop()
{
    context_.is_stopping = true;
    stop_started_at_ = core::monotonic_now();
    callers_->set_shedding(false);
    callers_->announce_close();
    log_event(
        log_level::info,
        component,
        "stop",
        {{"requests", callers_->active_exchanges()}});
    check_stop();
}

void entry_process::check_stop()
{
    const core::duration since = core::monotonic_now() - stop_started_at_;
    if (since >= accept_duration_after_stop)
        callers_->stop_accepting();
    const bool is_idle = since >= accept_duration_after_stop &&
                         callers_->open_connections() == 0 &&
                         tunnels_->open_tunnels() == 0;
    if (is_idle || since >= context_.settings.stop_grace - exit_margin) {
        log_event(
            log_level::info,
            component,
            "end",
            {{"requests_cut", callers_->active_exchanges()},
             {"tunnels_cut", tunnels_->open_tunnels()}});
        context_.calls.log_unanswered();
        io_.stop();
        return;
    }
    stop_timer_.expires_after(stop_check_interval);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            check_stop();
    });
}

} // namespace godwit::entry
