#pragma once

#include <godwit/core/error.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/awaited_response.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response_head.hpp>
#include <godwit/memory/client_account.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <tl/expected.hpp>

#include <chrono>

#include <memory>
#include <optional>
#include <string>

namespace godwit::entry {

/// Why a backend server gave no response.
enum class upstream_fault
{
    unreachable, ///< No byte was sent: the request has not run.
    lost,        ///< The connection broke; the request may have run.
    timed_out,   ///< No response in time; the request may have run.
};

/// A failed exchange with a backend server.
struct upstream_failure
{
    upstream_fault fault = upstream_fault::lost;
    core::error cause;
    /// Whether this host has no memory or descriptor for the exchange, which
    /// says nothing about the server. The request was not sent.
    bool is_host_exhausted = false;
};

template<class Value>
using upstream_result = tl::expected<Value, upstream_failure>;

/// One request to one backend server. Used on one executor.
class upstream
{
public:
    /// Bounds of the connect timeout, after which another server is tried.
    static constexpr core::duration max_connect_timeout =
        std::chrono::milliseconds(400);
    static constexpr core::duration min_connect_timeout =
        std::chrono::milliseconds(80);

    /// An incomplete event of at most this size has room in what each exchange
    /// takes.
    static constexpr std::size_t free_event_bytes = std::size_t{8} * 1024;

    /// `objective` is the request's latency objective. It bounds the connect
    /// timeout, since a connection attempt that uses it up leaves no time for
    /// another server.
    upstream(
        entry_context& context,
        placement::backend_server server,
        core::duration objective);

    [[nodiscard]] const placement::backend_server& server() const noexcept
    {
        return server_;
    }

    /// Sends the request and waits for the head of its own response until
    /// `end`; skips responses to other requests.
    boost::asio::awaitable<upstream_result<http::response_head>>
    send(http::request outgoing, std::string attempt_id, core::time_point end);

    /// Sends a control request and waits for the head of its own response until
    /// `end`. If it is `is_repeatable`, it may follow another control request
    /// on its connection.
    boost::asio::awaitable<upstream_result<http::response_head>>
    send_control_request(
        http::request outgoing, bool is_repeatable, core::time_point end);

    /// Records that the response which was read belongs to another request.
    /// The connection is not used again. Returns the failure of the exchange.
    upstream_failure
    reject_response(unsigned status, const std::string& attempt_id);

    /// Returns the next bytes of the body, or nothing at its end.
    boost::asio::awaitable<upstream_result<std::optional<std::string>>>
    read_some(core::time_point end);

    /// Returns the whole body. Fails with `lost` if the response may have been
    /// cut.
    boost::asio::awaitable<upstream_result<std::string>>
    read_all(core::time_point end);

    /// Whether the response says where it ends, so that a response which ends
    /// is known to be whole.
    [[nodiscard]] bool is_response_delimited() const noexcept;

    /// Whether the response, whose body has ended, is the whole one. If only
    /// the end of the connection ended it, asks the server whether it still
    /// runs. `end` is when the server has to have responded.
    boost::asio::awaitable<bool> is_response_whole(core::time_point end);

    /// Takes memory for `bytes` of the response that the caller has not got
    /// yet. Returns whether there is room.
    boost::asio::awaitable<bool> hold(std::size_t bytes);

    /// Returns what the response holds, for as long as it is not delivered. The
    /// exchange is over then.
    [[nodiscard]] memory::client_account::holder take_held();

    /// Closes the connection, which makes the server drop the request.
    void cancel() noexcept;

    /// Returns the connection to the pool if the exchange is complete.
    void release_connection();

private:
    boost::asio::awaitable<bool> take_exchange_room(core::time_point end);
    void give_back_exchange_room();
    boost::asio::awaitable<upstream_result<void>> connect(core::time_point end);
    boost::asio::awaitable<upstream_result<http::response_head>>
    send_and_read_head(http::request outgoing, core::time_point end);
    boost::asio::awaitable<upstream_result<http::response_head>>
    read_own_head(core::time_point end);
    /// Reads the body of another request's response to its end, without keeping
    /// it.
    boost::asio::awaitable<upstream_result<void>>
    discard_body(core::time_point end);

    entry_context& context_;
    placement::backend_server server_;
    core::duration connect_timeout_;
    std::optional<http::client_stream> stream_;
    memory::client_account::holder held_;
    memory::amounts exchange_room_; ///< Of `held_`, for the connection.
    core::time_point sent_at_{};
    awaited_response awaited_ = awaited_response::to_control_request();
    bool may_follow_unnamed_ = true;
    bool has_foreign_response_ = false;
    bool is_cancelled_ = false;
};

} // namespace godwit::entry
