#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::fakes {

/// Wakes every coroutine that waits for a change. For one thread.
class signal
{
public:
    explicit signal(const boost::asio::any_io_executor& executor)
        : timer_(executor, boost::asio::steady_timer::time_point::max())
    {}

    /// How often `notify` was called.
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    /// Returns at the next `notify`, and at once when there was one since
    /// the count was `seen`.
    boost::asio::awaitable<void> wait_beyond(std::uint64_t seen);

    void notify();

private:
    std::uint64_t count_ = 0;
    boost::asio::steady_timer timer_;
};

/// Returns after a time.
boost::asio::awaitable<void> pause(std::chrono::microseconds time);

} // namespace godwit::fakes
