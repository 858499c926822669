#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/hold.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace godwit::entry {

/// Requests a hold for the call and logs a failure. The arguments must outlive
/// the coroutine.
boost::asio::awaitable<hold_response> acquire_hold(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens);

/// Releases an unused hold, without waiting for the response.
void release_hold(
    entry_context& context,
    const placement::backend_server& server,
    std::string handle);

} // namespace godwit::entry
