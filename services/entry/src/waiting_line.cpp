#include <godwit/entry/waiting_line.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace godwit::entry {

namespace asio = boost::asio;

waiting_line::place::place(
    waiting_line& line, const asio::any_io_executor& executor, int priority)
    : line_(line), key_(priority, line.next_++), timer_(executor)
{
    line_.places_.emplace(key_, this);
}

waiting_line::place::~place()
{
    line_.places_.erase(key_);
    // Whoever stood behind may find room, too.
    line_.wake();
}

asio::awaitable<void> waiting_line::place::turn(core::time_point end)
{
    const core::duration left =
        std::max(end - core::monotonic_now(), core::duration::zero());
    timer_.expires_after(left);
    boost::system::error_code woken;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
}

void waiting_line::place::cancel()
{
    timer_.cancel();
}

void waiting_line::wake()
{
    if (!places_.empty())
        places_.begin()->second->cancel();
}

bool waiting_line::is_ahead_of(int priority) const noexcept
{
    return !places_.empty() && places_.begin()->first.first <= priority;
}

} // namespace godwit::entry
