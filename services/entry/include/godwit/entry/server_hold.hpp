#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/hold.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace godwit::entry {

/// Asks the server to keep room for the call, and logs what it said. The
/// arguments live until it is done.
boost::asio::awaitable<hold_response> acquire_hold(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens);

/// Gives back a hold that was not used, without waiting for the answer.
void release_hold(
    entry_context& context,
    const placement::backend_server& server,
    std::string handle);

} // namespace godwit::entry
