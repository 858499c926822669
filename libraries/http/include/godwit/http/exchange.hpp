#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/header_fields.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>
#include <godwit/memory/client_account.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace godwit::http {

class connection;

/// One request and its answer, as a handler sees it. It lives until the
/// handler returns and belongs to the handler's executor. Exactly one of
/// `respond` and `start_stream` is called once. Every write waits until the
/// socket took the bytes, and fails with `unavailable` when the caller is
/// gone or with `timeout` after the limits' write timeout; nothing can be
/// written after a failure.
class exchange
{
public:
    /// Made by the server alone.
    exchange(connection& owner, request received);

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// The request, whole and within the limits.
    [[nodiscard]] const request& received() const noexcept { return received_; }

    /// The address and port of the caller's end, for logs.
    [[nodiscard]] const std::string& peer() const noexcept;

    /// The executor on which the handler runs; the methods are called there.
    [[nodiscard]] boost::asio::any_io_executor executor() const;

    /// Adds what the answer holds to the part of this connection, until the
    /// caller has taken the answer.
    void hold(memory::client_account::holder answer);

    /// Sends a whole answer.
    boost::asio::awaitable<core::result<void>> respond(response answer);

    /// Sends the head of an answer whose body comes in chunks.
    boost::asio::awaitable<core::result<void>>
    start_stream(unsigned status, header_fields fields);

    /// Sends one piece of the body; an empty one sends nothing.
    boost::asio::awaitable<core::result<void>> write_chunk(std::string data);

    /// Ends the body. A handler that returns without it leaves the caller
    /// with a visibly truncated answer.
    boost::asio::awaitable<core::result<void>> finish_stream();

    /// Breaks the connection with a reset and without a further byte.
    void cut() noexcept;

    /// Whether an answer was begun.
    [[nodiscard]] bool is_answered() const noexcept;

    /// Whether the caller closed or reset its connection.
    [[nodiscard]] bool is_caller_gone() const noexcept;

    /// How the caller's connection ended; empty while it is open.
    [[nodiscard]] const std::string& gone_cause() const noexcept;

    /// Returns when the caller is gone; can be cancelled, and used beside
    /// other awaitables.
    boost::asio::awaitable<void> caller_gone();

    /// Calls `notify` once on the executor when the caller is gone; at once
    /// if it is. Replaces an earlier one.
    void on_caller_gone(std::function<void()> notify);

private:
    connection& owner_;
    request received_;
};

} // namespace godwit::http
