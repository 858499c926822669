#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/wire/backoff.hpp>
#include <godwit/wire/link.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace godwit::wire {

/// Maintains one link to an address and reconnects with jittered backoff
/// whenever it closes. Call every member on the executor.
class connector : public std::enable_shared_from_this<connector>
{
public:
    /// Makes this process's hello, once for each connection.
    using hello_source = std::function<hello()>;

    /// Fails with `invalid_input` on options out of range. The handlers are
    /// called for each successive link. `on_close` is also called for a
    /// connection that fails before its link opens, but not for one that is
    /// refused.
    [[nodiscard]] static core::result<std::shared_ptr<connector>> create(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint endpoint,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::uint64_t seed,
        const backoff_options& waits = {});

    /// Starts to connect.
    void start();

    /// Closes the link and stops. No handler is called any more.
    void stop();

    /// Sends on the link; returns false if it is not open.
    bool send(const message& value);

    /// Returns the open link, or null.
    [[nodiscard]] std::shared_ptr<link> current() const noexcept;

    [[nodiscard]] const boost::asio::ip::tcp::endpoint&
    endpoint() const noexcept
    {
        return endpoint_;
    }

    /// Number of connection attempts that failed since a link was last open.
    [[nodiscard]] std::uint64_t failures() const noexcept { return failures_; }

private:
    connector(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint endpoint,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::uint64_t seed,
        const backoff_options& waits);

    void connect();
    void on_connected();
    void retry();
    [[nodiscard]] link_handlers make_handlers();

    boost::asio::ip::tcp::endpoint endpoint_;
    link_options options_;
    hello_source self_;
    link_handlers handlers_;
    backoff backoff_;
    core::timer timer_;
    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<link> link_;
    std::uint64_t failures_ = 0;
    bool connecting_ = false;
    bool stopped_ = false;
};

} // namespace godwit::wire
