#pragma once

#include <godwit/core/time.hpp>
#include <godwit/http/client_error.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response_head.hpp>
#include <godwit/http/socket_buffers.hpp>
#include <godwit/http/tunnel_error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace godwit::http {

/// One connection to a server with one exchange at a time, whose body is
/// read as it arrives. Used on one executor, by one coroutine at a time;
/// `cancel` may be called there by another. After a failure nothing but
/// destruction is left.
class client_stream
{
public:
    /// A stream that is not connected yet; `executor` is a strand, or one
    /// of a context with a single thread.
    [[nodiscard]] static client_stream create(
        const boost::asio::any_io_executor& executor,
        const socket_buffers& buffers = {});

    client_stream(client_stream&&) noexcept;
    client_stream& operator=(client_stream&&) noexcept;
    /// Closes the connection.
    ~client_stream();

    /// Fails with `unavailable` or `timeout`, and never with a byte handed
    /// over.
    boost::asio::awaitable<client_result<void>>
    connect(endpoint server, core::duration timeout);

    /// Connects to `server` through the tunnel of an HTTP proxy (CONNECT). The
    /// connection carries one exchange.
    boost::asio::awaitable<tl::expected<void, tunnel_error>>
    connect_through(endpoint proxy, endpoint server, core::duration timeout);

    /// Makes operations on the open connection fail some seconds after the
    /// server can no longer be reached, also while nothing is sent. Fails with
    /// `unavailable`.
    [[nodiscard]] client_result<void> enable_keepalive();

    /// Writes the whole request. Fails with `unavailable` or `timeout`.
    boost::asio::awaitable<client_result<void>>
    send(request outgoing, core::duration timeout);

    /// Reads the head of the answer, passing over interim ones. Fails with
    /// `unavailable`, `timeout` or `protocol`.
    boost::asio::awaitable<client_result<response_head>>
    read_head(core::duration timeout);

    /// The next bytes of the body as they arrive, or nothing at its end.
    /// `stall_timeout` bounds the silence before them. Fails with
    /// `unavailable` (also when the body is cut), `timeout` or `protocol`.
    boost::asio::awaitable<client_result<std::optional<std::string>>>
    read_some(core::duration stall_timeout);

    /// Closes the connection; whatever waits fails with `unavailable`.
    void cancel() noexcept;

    /// Whether any byte of the current request was handed to the socket.
    [[nodiscard]] bytes_handed_over handed_over() const noexcept;

    /// The number of requests so far, without one that opened a tunnel.
    [[nodiscard]] std::size_t requests_sent() const noexcept;

    /// Whether the answer's head says where its body ends. If not, the end of
    /// the connection ends it, also if the server ended before it was done.
    [[nodiscard]] bool is_body_delimited() const noexcept;

    /// Whether the connection goes through a proxy, whose end looks like that
    /// of the server.
    [[nodiscard]] bool is_tunnelled() const noexcept;

    /// Whether the exchange ended whole and the connection can carry
    /// another one.
    [[nodiscard]] bool is_reusable() const noexcept;

    /// Whether the server still keeps an idle connection open, as far as
    /// this side can see.
    [[nodiscard]] bool is_open() const noexcept;

private:
    struct implementation;
    explicit client_stream(std::unique_ptr<implementation> held);

    std::unique_ptr<implementation> held_;
};

} // namespace godwit::http
