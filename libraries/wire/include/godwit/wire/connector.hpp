#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/wire/backoff.hpp>
#include <godwit/wire/link.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace godwit::wire {

/// Keeps one link to an address: connects, and connects again with jittered
/// backoff whenever the link is gone. Every member is called on the executor.
class connector : public std::enable_shared_from_this<connector>
{
public:
    /// Our introduction, asked for anew at each connection.
    using hello_source = std::function<hello()>;

    /// Fails with `invalid_input` on options out of range. The handlers see
    /// each link in turn; their `on_close` also hears of failed connections
    /// of an opened socket, not of refused connections.
    [[nodiscard]] static core::result<std::shared_ptr<connector>> create(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint endpoint,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::uint64_t seed,
        const backoff_options& waits = {});

    /// Begins to connect.
    void start();

    /// Closes the link without another call of a handler and stops.
    void stop();

    /// Sends on the link, if it is open; false when it is not.
    bool send(const message& value);

    /// The open link, or null.
    [[nodiscard]] std::shared_ptr<link> current() const noexcept;

    [[nodiscard]] const boost::asio::ip::tcp::endpoint&
    endpoint() const noexcept
    {
        return endpoint_;
    }

    /// Connections that were refused or timed out since the last open link.
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
    void connected();
    void retry();
    [[nodiscard]] link_handlers watch_link();

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
