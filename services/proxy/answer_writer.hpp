#pragma once

#include "answer_ending.hpp"

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/http/header_fields.hpp>
#include <godwit/http/response.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <variant>

namespace godwit::proxy {

/// Holds what is to be written to one caller and writes it as the caller
/// takes it. Used on one strand. The writer itself has no bound: whoever
/// fills it waits in `wait_below` first.
class answer_writer
{
public:
    explicit answer_writer(const boost::asio::any_io_executor& executor);

    /// Queues a whole answer, which ends the writing.
    void respond(http::response answer);

    /// Queues the head of a stream.
    void start_stream(http::header_fields fields);

    /// Queues a piece of the stream's body.
    void write(std::string data);

    /// Queues the end of the stream, which ends the writing.
    void finish_stream();

    /// Ends the writing now, so that the caller sees a truncated answer.
    void abandon();

    /// Whether the head of a stream or a whole answer was queued.
    [[nodiscard]] bool is_begun() const noexcept { return begun_; }

    /// Waits until fewer than `limit` bytes are queued or nobody writes any
    /// more.
    boost::asio::awaitable<void> wait_below(std::size_t limit);

    /// Whether `wait_below` waits.
    [[nodiscard]] bool is_holding_back() const noexcept { return waiting_; }

    /// Writes until the answer ends.
    boost::asio::awaitable<answer_ending> run(http::exchange& to);

private:
    struct stream_start
    {
        http::header_fields fields;
    };

    struct stream_end
    {};

    using item =
        std::variant<http::response, stream_start, std::string, stream_end>;

    void push(item next);
    std::string take_text();
    boost::asio::awaitable<core::result<void>> write_next(http::exchange& to);
    void end_writing();

    std::deque<item> items_;
    std::size_t queued_bytes_ = 0;
    bool begun_ = false;
    bool ended_ = false;
    bool abandoned_ = false;
    bool writing_ended_ = false;
    bool waiting_ = false;
    core::timer wake_;
    core::timer taken_;
};

} // namespace godwit::proxy
