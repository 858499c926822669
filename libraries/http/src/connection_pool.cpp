#include <godwit/http/connection_pool.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwit::http {

connection_pool::connection_pool(
    const boost::asio::any_io_executor& executor, connection_pool_limits limits)
    : executor_(executor), limits_(limits)
{}

std::unique_ptr<connection_pool> connection_pool::create(
    const boost::asio::any_io_executor& executor, connection_pool_limits limits)
{
    return std::unique_ptr<connection_pool>(
        new connection_pool(executor, limits));
}

std::optional<client_stream> connection_pool::take(const endpoint& server)
{
    return take_if(server, [](const idle_connection&) { return true; });
}

std::optional<client_stream>
connection_pool::take_after_named(const endpoint& server)
{
    return take_if(server, [](const idle_connection& candidate) {
        return candidate.last_response == response_naming::named;
    });
}

template<class Predicate>
std::optional<client_stream>
connection_pool::take_if(const endpoint& server, const Predicate& may_take)
{
    drop_old(core::monotonic_now());
    // The newest is the least likely to be closed by the server.
    for (auto next = idle_.end(); next != idle_.begin();) {
        --next;
        if (next->server != server || !may_take(*next))
            continue;
        client_stream stream = std::move(next->stream);
        next = idle_.erase(next);
        if (stream.is_open())
            return stream;
    }
    return std::nullopt;
}

boost::asio::awaitable<client_result<client_stream>>
connection_pool::open(endpoint server, core::duration timeout)
{
    if (opener_)
        co_return co_await opener_(std::move(server), timeout);
    client_stream stream = client_stream::create(executor_);
    const client_result<void> connected =
        co_await stream.connect(std::move(server), timeout);
    if (!connected)
        co_return tl::unexpected(connected.error());
    if (limits_.uses_keepalive) {
        const client_result<void> enabled = stream.enable_keepalive();
        if (!enabled)
            co_return tl::unexpected(enabled.error());
    }
    co_return stream;
}

void connection_pool::give_back(
    const endpoint& server, client_stream finished, response_naming last)
{
    if (!finished.is_reusable())
        return;
    const auto now = core::monotonic_now();
    drop_old(now);
    idle_.push_back(idle_connection{server, now, std::move(finished), last});
    drop_excess(server);
}

void connection_pool::forget(const endpoint& server)
{
    idle_.remove_if([&server](const idle_connection& candidate) {
        return candidate.server == server;
    });
}

void connection_pool::drop_old(core::time_point now)
{
    while (!idle_.empty() && now - idle_.front().since > limits_.idle_time)
        idle_.pop_front();
}

void connection_pool::drop_excess(const endpoint& server)
{
    const auto belongs = [&server](const idle_connection& candidate) {
        return candidate.server == server;
    };
    const auto count = std::count_if(idle_.begin(), idle_.end(), belongs);
    if (static_cast<std::size_t>(count) > limits_.idle_per_server)
        idle_.erase(std::find_if(idle_.begin(), idle_.end(), belongs));
    if (idle_.size() > limits_.idle_in_all)
        idle_.pop_front();
}

} // namespace godwit::http
