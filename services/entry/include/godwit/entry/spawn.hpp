#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace godwit::entry {

/// Makes a coroutine and begins it.
using coroutine_factory = std::function<boost::asio::awaitable<void>()>;

/// Runs a coroutine on its own. An exception ends it alone and is logged
/// under `name`. `at_end` is called however it ended; it may be empty.
void spawn(
    const boost::asio::any_io_executor& executor,
    std::string name,
    coroutine_factory begin,
    std::function<void()> at_end = {});

/// Runs a coroutine that the host lives by: after an exception, which is
/// logged under `name`, it begins again a moment later. One that returns is
/// done.
void spawn_with_restart(
    const boost::asio::any_io_executor& executor,
    std::string name,
    coroutine_factory begin);

} // namespace godwit::entry
