#include <godwit/entry/table_loader.hpp>

#include <godwit/entry/spawn.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

table_loader::table_loader(asio::any_io_executor executor, handlers callbacks)
    : executor_(std::move(executor)), handlers_(std::move(callbacks))
{}

void table_loader::add(received_table table)
{
    if (waiting_.size() == max_waiting)
        waiting_.pop_front();
    waiting_.push_back(std::move(table));
    if (std::exchange(is_running_, true))
        return;
    // An exception ends the parsing of one table; the others are parsed after a
    // pause.
    spawn_with_restart(
        executor_, "read_table", [this]() -> asio::awaitable<void> {
            co_await run();
        });
}

asio::awaitable<void> table_loader::run()
{
    while (!waiting_.empty()) {
        received_table next = std::move(waiting_.front());
        waiting_.pop_front();
        if (handlers_.is_new(next))
            co_await parse(std::move(next));
    }
    // Reset here, because a table that arrives before the coroutine has ended
    // has to restart it.
    is_running_ = false;
}

asio::awaitable<void> table_loader::parse(received_table table)
{
    const table_parser parse_slice = handlers_.start_parsing(table.text);
    while (true) {
        if (const table_parse_result result = parse_slice()) {
            handlers_.on_parsed(std::move(table), *result);
            co_return;
        }
        co_await asio::post(executor_, asio::use_awaitable);
    }
}

} // namespace godwit::entry
