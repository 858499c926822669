#pragma once

#include <godwit/core/time.hpp>
#include <godwit/memory/client_account.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace godwit::http {

/// Takes `more` for `taker`, and waits until `end` for those who were told to
/// make room. Returns whether it was granted.
boost::asio::awaitable<bool> take_room(
    memory::client_account::holder& taker,
    memory::amounts more,
    core::time_point end);

/// How long to wait for those who were told to make room.
constexpr core::duration room_timeout = std::chrono::milliseconds(500);

} // namespace godwit::http
