#include <godwit/entry/wait_queue.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace godwit::entry {

namespace asio = boost::asio;

wait_queue::waiter::waiter(
    wait_queue& queue, const asio::any_io_executor& executor, int priority)
    : queue_(queue), key_(priority, queue.next_++), timer_(executor)
{
    queue_.waiters_.emplace(key_, this);
}

wait_queue::waiter::~waiter()
{
    queue_.waiters_.erase(key_);
    // Whoever stood behind may find room, too.
    queue_.wake_first();
}

asio::awaitable<void> wait_queue::waiter::wait_turn(core::time_point end)
{
    const core::duration left =
        std::max(end - core::monotonic_now(), core::duration::zero());
    timer_.expires_after(left);
    boost::system::error_code woken;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
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
    return !waiters_.empty() && waiters_.begin()->first.first <= priority;
}

} // namespace godwit::entry
