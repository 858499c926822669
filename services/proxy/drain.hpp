#pragma once

#include "drain_settings.hpp"
#include "process_state.hpp"
#include "session_registry.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstddef>
#include <functional>

namespace godwit::proxy {

/// Ends the process at SIGTERM or SIGINT. The first one begins a graceful
/// stop: readiness fails, then listening ends, then the requests in flight
/// do. A second one, or the limit, cuts what still runs. Belongs to the
/// control thread.
class drain
{
public:
    /// `on_end` is called once, with the number of requests that were cut.
    drain(
        boost::asio::io_context& control,
        drain_settings settings,
        process_state& state,
        session_registry& registry,
        http::server& callers,
        std::function<void(std::size_t)> on_end);

    /// Begins to wait for signals.
    void start();

private:
    void wait_for_signal();
    void on_signal(int number);
    void begin();
    void end_listening();
    void watch();
    void cut(const char* why);
    void watch_cut(std::size_t cut_requests);
    void end(std::size_t cut_requests);

    drain_settings settings_;
    process_state& state_;
    session_registry& registry_;
    http::server& callers_;
    std::function<void(std::size_t)> on_end_;
    boost::asio::signal_set signals_;
    core::timer readiness_timer_;
    core::timer limit_timer_;
    core::timer watch_timer_;
    std::size_t polls_after_cut_ = 0;
    bool cutting_ = false;
    bool ended_ = false;
};

} // namespace godwit::proxy
