#pragma once

#include <godwit/fakes/fault_switches.hpp>
#include <godwit/fakes/host_list.hpp>
#include <godwit/fakes/platform_log.hpp>
#include <godwit/fakes/signal.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>

namespace godwit::fakes {

/// The stand-in platform's HTTP side; one thread.
class platform_shell
{
public:
    platform_shell(
        const boost::asio::any_io_executor& executor,
        const platform_settings& settings);

    /// Serves one exchange.
    boost::asio::awaitable<void> handle(http::exchange& current);

private:
    boost::asio::awaitable<void> route(http::exchange& current);
    boost::asio::awaitable<void>
    append(http::exchange& current, std::string stream);
    boost::asio::awaitable<void>
    read(http::exchange& current, std::string stream);
    boost::asio::awaitable<void>
    change_host(http::exchange& current, std::string address);
    [[nodiscard]] std::string hosts_json() const;
    void take_faults();

    platform_settings settings_;
    platform_log log_;
    host_list hosts_;
    fault_switches faults_;
    signal appended_;
};

} // namespace godwit::fakes
