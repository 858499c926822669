#include <godwit/entry/wait_queue.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

wait_queue::waiter::waiter(
    wait_queue& queue,
    const asio::any_io_executor& executor,
    int priority,
    std::optional<queueing::waiting_request> request)
    : queue_(queue), key_(priority, queue.next_sequence_++),
      request_(std::move(request)), timer_(executor)
{
    queue_.waiters_.emplace(key_, this);
}

wait_queue::waiter::~waiter()
{
    queue_.waiters_.erase(key_);
    // The next request in the queue may find capacity, too.
    queue_.wake_first();
}

asio::awaitable<void> wait_queue::waiter::wait_turn(core::time_point end)
{
    const core::duration remaining =
        std::max(end - core::monotonic_now(), core::duration::zero());
    timer_.expires_after(remaining);
    boost::system::error_code error;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
}

void wait_queue::waiter::cancel()
{
    timer_.cancel();
}

void wait_queue::wake_first()
{
    if (waiters_.empty())
        return;
    if (const auto shared = order())
        wake_first_of_each_service(*shared);
    else
        waiters_.begin()->second->cancel();
}

std::optional<queueing::queue_order> wait_queue::order() const
{
    return order_source_ ? order_source_() : std::nullopt;
}

// The order does not know which servers have capacity: a request whose service
// has none must not hold up those of other services. Requests that take no part
// in the order, which wait for a limit and not for capacity, keep their own.
void wait_queue::wake_first_of_each_service(const queueing::queue_order& order)
{
    std::map<core::service_name, waiter*> first;
    for (const auto& [key, each] : waiters_) {
        const auto service =
            each->request_ ? each->request_->service : core::service_name();
        waiter*& found = first.try_emplace(service, each).first->second;
        const bool goes_before =
            each->request_ &&
            order.goes_before(*each->request_, *found->request_);
        if (goes_before)
            found = each;
    }
    for (const auto& [service, each] : first)
        each->cancel();
}

bool wait_queue::is_turn_of(const waiter& waiting) const
{
    const auto shared = order();
    if (!shared || !waiting.request_)
        return true;
    const queueing::waiting_request& request = *waiting.request_;
    return std::none_of(
        waiters_.begin(), waiters_.end(), [&](const auto& each) {
            const auto& other = each.second->request_;
            return other && other->service == request.service &&
                   shared->goes_before(*other, request);
        });
}

std::vector<queueing::waiting_request> wait_queue::requests() const
{
    std::vector<queueing::waiting_request> requests;
    for (const auto& [key, each] : waiters_) {
        if (each->request_)
            requests.push_back(*each->request_);
    }
    return requests;
}

bool wait_queue::has_waiter_ahead_of(int priority) const noexcept
{
    return !waiters_.empty() && waiters_.begin()->first.first <= priority;
}

bool wait_queue::has_waiter_ahead_of(
    int priority, const queueing::waiting_request& request) const
{
    const auto shared = order();
    if (!shared)
        return has_waiter_ahead_of(priority);
    return std::any_of(waiters_.begin(), waiters_.end(), [&](const auto& each) {
        const auto& other = each.second->request_;
        return other && other->service == request.service &&
               shared->goes_before(*other, request);
    });
}

} // namespace godwit::entry
