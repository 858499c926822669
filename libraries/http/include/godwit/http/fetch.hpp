#pragma once

#include <godwit/http/client_error.hpp>
#include <godwit/http/connection_pool.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/fetch_limits.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>

#include <boost/asio/awaitable.hpp>

namespace godwit::http {

/// Sends a request and collects the whole answer, on the pool's executor.
/// Nothing is retried: a pooled connection that its server closed at that
/// moment fails with `unavailable` and bytes handed over.
boost::asio::awaitable<client_result<response>> fetch(
    connection_pool& pool,
    endpoint server,
    request outgoing,
    fetch_limits limits);

/// The same on a connection of its own, on the current executor.
boost::asio::awaitable<client_result<response>>
fetch(endpoint server, request outgoing, fetch_limits limits);

/// The same on an open connection.
boost::asio::awaitable<client_result<response>> fetch(
    client_stream& connected,
    endpoint server,
    request outgoing,
    fetch_limits limits);

} // namespace godwit::http
