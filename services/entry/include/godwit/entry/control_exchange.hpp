#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace godwit::entry {

/// A question to a backend server about itself, or about a run of this host, as
/// opposed to a caller's request.
struct control_request
{
    http::request message;
    core::duration timeout{}; ///< From the call to the end of the response.
    /// Whether the response can be one to this request. A response that cannot
    /// be belongs to another one.
    std::function<bool(const http::response&)> accepts;
    /// Whether a late response to an earlier request of this kind does no harm,
    /// so that requests of this kind may follow each other on a connection.
    bool is_repeatable = false;
};

/// Sends the request on a kept connection or a new one. Fails with `lost` if
/// the response belongs to another request, like `upstream` otherwise.
boost::asio::awaitable<upstream_result<http::response>> exchange_control(
    entry_context& context,
    placement::backend_server server,
    control_request request);

} // namespace godwit::entry
