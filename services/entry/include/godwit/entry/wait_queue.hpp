#pragma once

#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

namespace godwit::entry {

/// The place of a request among others of its priority.
enum class queue_place
{
    first,
    by_age,
};

/// Requests that wait for capacity at the backend servers, ordered by priority
/// and then by age, oldest first. Used on one executor.
class wait_queue
{
    /// Priority, place and age.
    using waiter_key = std::tuple<int, queue_place, std::uint64_t>;

public:
    /// One waiting request; leaves the queue on destruction.
    class waiter
    {
    public:
        waiter(
            wait_queue& queue,
            const boost::asio::any_io_executor& executor,
            int priority,
            queue_place place = queue_place::by_age);
        ~waiter();

        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

        /// Waits until it is this request's turn, or until `end`. Returns
        /// whether it is its turn.
        boost::asio::awaitable<bool> wait_turn(core::time_point end);

        /// Ends the wait at once.
        void cancel();

    private:
        friend class wait_queue;

        wait_queue& queue_;
        waiter_key key_;
        core::timer timer_;
    };

    /// Wakes the first request; each of the others is woken when the one before
    /// it leaves the queue.
    void wake_first();

    [[nodiscard]] std::size_t size() const noexcept { return waiters_.size(); }

    /// Whether a request of `priority` would queue behind another one.
    [[nodiscard]] bool has_waiter_ahead_of(int priority) const noexcept;

private:
    std::map<waiter_key, waiter*> waiters_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace godwit::entry
