#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/http/server_settings.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit::http {

class server_state;

/// Serves one exchange; it runs on a strand of its connection.
using exchange_handler = std::function<boost::asio::awaitable<void>(exchange&)>;

/// An HTTP/1.1 server. Requests that are malformed, too large, truncated or
/// slow are answered here and never reach the handler. The methods may be
/// called on any thread.
class server
{
public:
    /// Binds and listens. Fails with `unavailable` when the address cannot
    /// be bound.
    [[nodiscard]] static core::result<std::unique_ptr<server>> create(
        boost::asio::io_context& context,
        server_settings settings,
        exchange_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Closes everything.
    ~server();

    /// The address in use, with the port that was chosen.
    [[nodiscard]] const endpoint& address() const noexcept;

    /// Applies `limits` to what is read from now on. The buffers of open
    /// connections keep their size.
    void set_limits(const server_limits& limits);

    /// Ends each connection with its next answer, and goes on to accept new
    /// ones: callers move away before `stop_accepting`.
    void announce_close();

    /// While set, closes new connections before anything is read from them,
    /// and ends each connection with its next answer, so that callers move to
    /// other hosts.
    void set_shedding(bool sheds);

    /// How many new connections were closed so.
    [[nodiscard]] std::size_t shed_connections() const noexcept;

    /// Refuses new connections and closes idle ones. Requests that were sent
    /// before are served to their end; a connection that brought none yet
    /// has a second to do so.
    void stop_accepting();

    /// Rejects each request that is still being read, with `stopping`.
    void reject_unread();

    /// How many requests are being read or handled.
    [[nodiscard]] std::size_t active_exchanges() const noexcept;

    /// How many connections are open.
    [[nodiscard]] std::size_t open_connections() const noexcept;

    /// Cuts every connection.
    void close();

private:
    explicit server(std::shared_ptr<server_state> state);

    std::shared_ptr<server_state> state_;
};

} // namespace godwit::http
