#include "answer_writer.hpp"

#include <godwit/core/timer.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

// A timer that never fires serves as a condition: `cancel` wakes the waiter.
asio::awaitable<void> wait_for(core::timer& condition)
{
    boost::system::error_code cancelled;
    co_await condition.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
}

} // namespace

answer_writer::answer_writer(const asio::any_io_executor& executor)
    : wake_(executor, core::timer::time_point::max()),
      taken_(executor, core::timer::time_point::max())
{}

void answer_writer::push(item next)
{
    if (ended_ || writing_ended_)
        return;
    begun_ = true;
    items_.push_back(std::move(next));
    wake_.cancel();
}

void answer_writer::respond(http::response answer)
{
    push(std::move(answer));
    ended_ = true;
}

void answer_writer::start_stream(http::header_fields fields)
{
    push(stream_start{std::move(fields)});
}

void answer_writer::write(std::string data)
{
    if (!writing_ended_)
        queued_bytes_ += data.size();
    push(std::move(data));
}

void answer_writer::finish_stream()
{
    push(stream_end{});
    ended_ = true;
}

void answer_writer::abandon()
{
    abandoned_ = true;
    wake_.cancel();
}

asio::awaitable<void> answer_writer::wait_below(std::size_t limit)
{
    waiting_ = true;
    while (queued_bytes_ >= limit && !writing_ended_)
        co_await wait_for(taken_);
    waiting_ = false;
}

// Tokens that gathered while the last write went on go out as one.
std::string answer_writer::take_text()
{
    std::string text;
    while (!items_.empty()) {
        auto* const piece = std::get_if<std::string>(&items_.front());
        if (piece == nullptr)
            break;
        text += *piece;
        items_.pop_front();
    }
    return text;
}

asio::awaitable<core::result<void>>
answer_writer::write_next(http::exchange& to)
{
    if (std::holds_alternative<std::string>(items_.front())) {
        std::string text = take_text();
        const std::size_t size = text.size();
        auto written = co_await to.write_chunk(std::move(text));
        queued_bytes_ -= size;
        taken_.cancel();
        co_return written;
    }
    item next = std::move(items_.front());
    items_.pop_front();
    if (auto* const answer = std::get_if<http::response>(&next))
        co_return co_await to.respond(std::move(*answer));
    if (auto* const start = std::get_if<stream_start>(&next)) {
        constexpr unsigned ok = 200;
        co_return co_await to.start_stream(ok, std::move(start->fields));
    }
    co_return co_await to.finish_stream();
}

void answer_writer::end_writing()
{
    writing_ended_ = true;
    items_.clear();
    queued_bytes_ = 0;
    taken_.cancel();
}

asio::awaitable<answer_ending> answer_writer::run(http::exchange& to)
{
    to.on_caller_gone([this] { wake_.cancel(); });
    answer_ending ending = answer_ending::whole;
    for (;;) {
        if (abandoned_) {
            ending = answer_ending::cut;
            break;
        }
        if (items_.empty() && to.is_caller_gone()) {
            ending = answer_ending::caller_gone;
            break;
        }
        if (items_.empty()) {
            co_await wait_for(wake_);
            continue;
        }
        const auto written = co_await write_next(to);
        if (!written) {
            ending = written.error().kind() == core::error_kind::timeout
                         ? answer_ending::caller_slow
                         : answer_ending::caller_gone;
            break;
        }
        if (items_.empty() && ended_)
            break;
    }
    to.on_caller_gone(nullptr);
    end_writing();
    co_return ending;
}

} // namespace godwit::proxy
