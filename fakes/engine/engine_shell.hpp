#pragma once

#include <godwit/fakes/engine_model.hpp>
#include <godwit/fakes/fault_switches.hpp>
#include <godwit/fakes/signal.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace godwit::fakes {

/// The stand-in engine's HTTP side; one thread.
class engine_shell
{
public:
    engine_shell(
        const boost::asio::any_io_executor& executor,
        const engine_settings& settings);

    /// Serves one exchange.
    boost::asio::awaitable<void> handle(http::exchange& current);

    /// Carries the model forward as time passes; never ends.
    boost::asio::awaitable<void> run_model();

private:
    boost::asio::awaitable<void> route(http::exchange& current);
    boost::asio::awaitable<void> complete(http::exchange& current);
    boost::asio::awaitable<void>
    stream(http::exchange& current, core::generation_id id, std::uint64_t from);
    boost::asio::awaitable<void>
    cancel(http::exchange& current, core::generation_id id);
    boost::asio::awaitable<void> order(http::exchange& current);
    boost::asio::awaitable<void>
    refuse(http::exchange& current, unsigned status, std::string reason);
    boost::asio::awaitable<void> wait_out_stall();
    void take_faults();
    [[nodiscard]] std::string load_json();
    [[nodiscard]] std::string cache_events_json(std::uint64_t from) const;
    [[nodiscard]] std::string orders_json();

    engine_model model_;
    fault_switches faults_;
    signal changed_;
    signal has_work_;
    core::time_point stalled_until_;
};

} // namespace godwit::fakes
