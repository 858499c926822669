#include <godwit/entry/table_intake.hpp>

#include <godwit/entry/spawn.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

table_intake::table_intake(
    asio::any_io_executor executor, handlers asked_of_host)
    : executor_(std::move(executor)), handlers_(std::move(asked_of_host))
{}

void table_intake::add(arrived_table table)
{
    if (waiting_.size() == most_waiting)
        waiting_.pop_front();
    waiting_.push_back(std::move(table));
    if (std::exchange(is_running_, true))
        return;
    // An exception ends the reading of one table; the others are read after a
    // pause.
    spawn_with_restart(
        executor_, "read_table", [this]() -> asio::awaitable<void> {
            co_await run();
        });
}

asio::awaitable<void> table_intake::run()
{
    while (!waiting_.empty()) {
        arrived_table next = std::move(waiting_.front());
        waiting_.pop_front();
        if (handlers_.is_news(next))
            co_await read(std::move(next));
    }
    // Here, since what arrives until the coroutine has ended has to begin it
    // again.
    is_running_ = false;
}

asio::awaitable<void> table_intake::read(arrived_table table)
{
    const table_reading read_on = handlers_.start(table.text);
    while (true) {
        if (const table_read read = read_on()) {
            handlers_.on_read(std::move(table), *read);
            co_return;
        }
        co_await asio::post(executor_, asio::use_awaitable);
    }
}

} // namespace godwit::entry
