#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace godwit::entry {

/// Creates a coroutine.
using coroutine_factory = std::function<boost::asio::awaitable<void>()>;

/// Runs a detached coroutine. An exception ends only this coroutine and is
/// logged under `name`. `on_end` is called in either case; it may be empty.
void spawn(
    const boost::asio::any_io_executor& executor,
    std::string name,
    coroutine_factory factory,
    std::function<void()> on_end = {});

/// Runs a coroutine that the host cannot do without: after an exception, which
/// is logged under `name`, it is restarted a moment later. It is not restarted
/// after it returns.
void spawn_with_restart(
    const boost::asio::any_io_executor& executor,
    std::string name,
    coroutine_factory factory);

} // namespace godwit::entry
