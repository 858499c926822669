#pragma once

#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>

#include <godwit/queueing/queue_order.hpp>
#include <godwit/queueing/waiting_request.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace godwit::entry {

/// Requests that wait for capacity at the backend servers, ordered by priority
/// and then by age, oldest first; or in the order that the hosts of the cell
/// share, if there is one. Used on one executor.
class wait_queue
{
public:
    /// Returns the shared order, or nothing while hosts share none.
    using order_source = std::function<std::optional<queueing::queue_order>()>;

    /// One waiting request; leaves the queue on destruction.
    class waiter
    {
    public:
        waiter(
            wait_queue& queue,
            const boost::asio::any_io_executor& executor,
            int priority,
            std::optional<queueing::waiting_request> request = std::nullopt);
        ~waiter();

        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

        /// Waits until it is this request's turn, or until `end`.
        boost::asio::awaitable<void> wait_turn(core::time_point end);

        /// Ends the wait at once.
        void cancel();

    private:
        friend class wait_queue;

        wait_queue& queue_;
        std::pair<int, std::uint64_t> key_;
        std::optional<queueing::waiting_request> request_;
        core::timer timer_;
    };

    /// Sets where the shared order comes from.
    void set_order_source(order_source source)
    {
        order_source_ = std::move(source);
    }

    /// Wakes the first request; each of the others is woken when the one before
    /// it leaves the queue. With a shared order, the first one of each service.
    void wake_first();

    /// Whether it is this request's turn: with a shared order, whether it is
    /// the first one of its service.
    [[nodiscard]] bool is_turn_of(const waiter& waiting) const;

    /// Returns the waiting requests that take part in a shared order.
    [[nodiscard]] std::vector<queueing::waiting_request> requests() const;

    [[nodiscard]] std::size_t size() const noexcept { return waiters_.size(); }

    /// Whether a request of `priority` would queue behind another one.
    [[nodiscard]] bool has_waiter_ahead_of(int priority) const noexcept;

    /// The same with `request` for the shared order, if there is one.
    [[nodiscard]] bool has_waiter_ahead_of(
        int priority, const queueing::waiting_request& request) const;

private:
    [[nodiscard]] std::optional<queueing::queue_order> order() const;
    void wake_first_of_each_service(const queueing::queue_order& order);

    std::map<std::pair<int, std::uint64_t>, waiter*> waiters_;
    std::uint64_t next_sequence_ = 0;
    order_source order_source_;
};

} // namespace godwit::entry
