#pragma once

#include <godwit/core/time.hpp>
#include <godwit/http/client_error.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/connection_pool_limits.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/response_naming.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>

namespace godwit::http {

/// Idle connections for short calls. A connection comes back only after a
/// whole exchange, so that a late answer never meets another request. Used
/// on one executor.
class connection_pool
{
public:
    [[nodiscard]] static std::unique_ptr<connection_pool> create(
        const boost::asio::any_io_executor& executor,
        connection_pool_limits limits);

    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    [[nodiscard]] const boost::asio::any_io_executor& executor() const noexcept
    {
        return executor_;
    }

    /// An idle connection to `server` that its end still keeps open.
    [[nodiscard]] std::optional<client_stream> take(const endpoint& server);

    /// The same, of those whose last response named its request.
    [[nodiscard]] std::optional<client_stream>
    take_after_named(const endpoint& server);

    using opener =
        std::function<boost::asio::awaitable<client_result<client_stream>>(
            endpoint server, core::duration timeout)>;

    /// Sets how `open` connects; directly if it is not called.
    void set_opener(opener chosen) { opener_ = std::move(chosen); }

    /// Connects to `server`. Fails with `unavailable` or `timeout`.
    boost::asio::awaitable<client_result<client_stream>>
    open(endpoint server, core::duration timeout);

    /// Keeps `finished` if it can be reused; closes it otherwise. At a bound
    /// the connection that has been idle longest is closed.
    void give_back(
        const endpoint& server,
        client_stream finished,
        response_naming last = response_naming::unnamed);

    /// Closes the idle connections to `server`.
    void forget(const endpoint& server);

    /// Closes all idle connections.
    void clear() { idle_.clear(); }

    [[nodiscard]] std::size_t idle() const noexcept { return idle_.size(); }

private:
    struct idle_connection
    {
        endpoint server;
        core::time_point since;
        client_stream stream;
        response_naming last_response = response_naming::unnamed;
    };

    connection_pool(
        const boost::asio::any_io_executor& executor,
        connection_pool_limits limits);

    template<class Predicate>
    std::optional<client_stream>
    take_if(const endpoint& server, const Predicate& may_take);
    void drop_old(core::time_point now);
    void drop_excess(const endpoint& server);

    boost::asio::any_io_executor executor_;
    connection_pool_limits limits_;
    opener opener_;
    std::list<idle_connection> idle_; // The longest idle first.
};

} // namespace godwit::http
