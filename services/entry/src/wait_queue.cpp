#include <godwit/entry/wait_queue.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace godwit::entry {

namespace asio = boost::asio;

wait_queue::waiter::waiter(
    wait_queue& queue,
    const asio::any_io_executor& executor,
    int priority,
    queue_place place)
    : queue_(queue), key_(priority, place, queue.next_sequence_++),
      timer_(executor)
{
    queue_.waiters_.emplace(key_, this);
}

wait_queue::waiter::~waiter()
{
    queue_.waiters_.erase(key_);
    // The next request in the queue may find capacity, too.
    queue_.wake_first();
}

asio::awaitable<bool> wait_queue::waiter::wait_turn(core::time_point end)
{
    const core::duration remaining =
        std::max(end - core::monotonic_now(), core::duration::zero());
    timer_.expires_after(remaining);
    boost::system::error_code error;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    co_return error == asio::error::operation_aborted;
}

void wait_queue::waiter::cancel()
{
    timer_.cancel();
}

void wait_queue::wake_first()
{
    if (!waiters_.empty())
        waiters_.begin()->second->cancel();
}

bool wait_queue::has_waiter_ahead_of(int priority) const noexcept
{
    return !waiters_.empty() &&
           std::get<0>(waiters_.begin()->first) <= priority;
}

} // namespace godwit::entry
