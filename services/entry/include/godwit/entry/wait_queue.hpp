#pragma once

#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace godwit::entry {

/// Requests that wait for room at the backend servers, the most urgent and
/// then the oldest first. Used on one executor.
class wait_queue
{
public:
    /// One request's place; it is given up with the object.
    class waiter
    {
    public:
        waiter(
            wait_queue& queue,
            const boost::asio::any_io_executor& executor,
            int priority);
        ~waiter();

        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

        /// Waits until it is this request's turn, or until `end`.
        boost::asio::awaitable<void> wait_turn(core::time_point end);

        /// Ends the waiting at once.
        void cancel();

    private:
        friend class wait_queue;

        wait_queue& queue_;
        std::pair<int, std::uint64_t> key_;
        core::timer timer_;
    };

    /// Lets the first request try; the others follow as each leaves.
    void wake_first();

    [[nodiscard]] std::size_t size() const noexcept { return waiters_.size(); }

    /// Whether a request of `priority` would stand behind another one.
    [[nodiscard]] bool has_waiter_ahead_of(int priority) const noexcept;

private:
    std::map<std::pair<int, std::uint64_t>, waiter*> waiters_;
    std::uint64_t next_ = 0;
};

} // namespace godwit::entry
