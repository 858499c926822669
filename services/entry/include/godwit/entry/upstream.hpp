#pragma once

#include <godwit/core/error.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response_head.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <tl/expected.hpp>

#include <chrono>

#include <memory>
#include <optional>
#include <string>

namespace godwit::entry {

/// Why a backend server gave no answer.
enum class upstream_fault
{
    unreachable, ///< Not a byte was handed over: it has not run.
    lost,        ///< The connection broke; it may have run.
    timed_out,   ///< No answer in time; it may have run.
};

/// An exchange with a backend server that failed.
struct upstream_failure
{
    upstream_fault fault = upstream_fault::lost;
    core::error cause;
};

template<class Value>
using upstream_result = tl::expected<Value, upstream_failure>;

/// One request at one backend server. Used on one executor.
class upstream
{
public:
    /// A server that takes longer to accept a connection is passed over; the
    /// longest and the shortest limit.
    static constexpr core::duration max_connect_timeout =
        std::chrono::milliseconds(400);
    static constexpr core::duration min_connect_timeout =
        std::chrono::milliseconds(80);

    /// `objective` is the request's latency objective: a connection attempt
    /// that uses it up leaves no time for another server.
    upstream(
        entry_context& context,
        placement::backend_server server,
        core::duration objective);

    [[nodiscard]] const placement::backend_server& server() const noexcept
    {
        return server_;
    }

    /// Sends the request and waits for the head of its own answer until
    /// `end`; answers to other requests are passed over.
    boost::asio::awaitable<upstream_result<http::response_head>>
    send(http::request outgoing, std::string attempt_id, core::time_point end);

    /// The next bytes of the body, or nothing at its end.
    boost::asio::awaitable<upstream_result<std::optional<std::string>>>
    read_some(core::time_point end);

    /// The whole body.
    boost::asio::awaitable<upstream_result<std::string>>
    read_all(core::time_point end);

    /// Breaks the connection; a server drops the request then.
    void cancel() noexcept;

    /// Keeps the connection for others if the exchange ended whole.
    void release_connection();

private:
    boost::asio::awaitable<upstream_result<void>> connect(core::time_point end);
    boost::asio::awaitable<upstream_result<http::response_head>>
    read_own_head(std::string attempt_id, core::time_point end);

    entry_context& context_;
    placement::backend_server server_;
    core::duration connect_limit_;
    std::optional<http::client_stream> stream_;
    core::time_point sent_at_{};
    bool is_cancelled_ = false;
};

} // namespace godwit::entry
