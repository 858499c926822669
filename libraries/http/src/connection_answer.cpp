#include "connection.hpp"

#include "server_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include <algorithm>
#include <array>
#include <utility>

// Writing answers: whole ones and streams, each in its turn.

namespace godwit::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

void connection::cut() noexcept
{
    is_cut_ = true;
    keeps_alive_ = false;
    // An orderly end keeps what was sent. Streams that it would make look whole
    // are reset all the same.
    close_socket();
}

// Where the end of the connection ends the body, only a reset shows that the
// answer is not whole. The system resets such a connection however it ends,
// also with the process.
void connection::reset_at_close(bool resets)
{
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(resets, 0), ignored);
}

// A handler that answers out of turn is at fault; the requests of others are
// not worth its end, so this is no assertion.
core::result<void> connection::check_turn(answer_phase needed)
{
    if (phase_ == needed)
        return {};
    server_->report_fault(peer_, "an answer out of turn");
    return core::fail(
        core::error_kind::conflict,
        "an answer out of turn to " + peer_,
        "answer each request once, and end a stream once");
}

asio::awaitable<core::result<void>> connection::respond(response answer)
{
    const auto in_turn = check_turn(answer_phase::none);
    if (!in_turn)
        co_return in_turn;
    phase_ = answer_phase::streaming;
    if (server_->closes_connections())
        keeps_alive_ = false;
    body_framing framing;
    framing.content_length = answer.body.size();
    framing.keeps_connection = keeps_alive_;
    const std::string head =
        format_response_head(answer.status, answer.fields, framing);
    // It is there already, whether or not there is room for it.
    if (answer.body.size() > read_size && answer.body.size() > answer_held_)
        held_.take_existing({answer.body.size() - answer_held_, 0});
    core::result<void> sent = co_await write_all(
        head, omits_body_ ? std::string_view() : answer.body);
    if (sent)
        phase_ = answer_phase::finished;
    co_return sent;
}

asio::awaitable<core::result<void>>
connection::start_stream(unsigned status, header_fields fields)
{
    const auto in_turn = check_turn(answer_phase::none);
    if (!in_turn)
        co_return in_turn;
    phase_ = answer_phase::streaming;
    // HTTP/1.0 knows no chunks: the end of the connection ends the body.
    if (server_->closes_connections() || !takes_chunks_)
        keeps_alive_ = false;
    body_framing framing;
    framing.is_chunked = takes_chunks_;
    framing.keeps_connection = keeps_alive_;
    if (!takes_chunks_)
        reset_at_close(true);
    const std::string head = format_response_head(status, fields, framing);
    co_return co_await write_all(head);
}

asio::awaitable<core::result<void>> connection::write_chunk(std::string data)
{
    const auto in_turn = check_turn(answer_phase::streaming);
    if (!in_turn)
        co_return in_turn;
    if (data.empty() || omits_body_)
        co_return core::result<void>();
    const std::string bytes =
        takes_chunks_ ? format_chunk(data) : std::move(data);
    co_return co_await write_all(bytes);
}

asio::awaitable<core::result<void>> connection::finish_stream()
{
    const auto in_turn = check_turn(answer_phase::streaming);
    if (!in_turn)
        co_return in_turn;
    core::result<void> sent;
    if (takes_chunks_ && !omits_body_)
        sent = co_await write_all(last_chunk);
    if (!takes_chunks_)
        reset_at_close(false);
    if (sent)
        phase_ = answer_phase::finished;
    co_return sent;
}

asio::awaitable<core::result<void>>
connection::write_all(std::string_view head, std::string_view body)
{
    // Most writes fit into the kernel's buffer.
    error_code failure;
    const std::array<asio::const_buffer, 2> bytes{
        asio::buffer(head), asio::buffer(body)};
    std::size_t done = socket_.write_some(bytes, failure);
    if (failure == asio::error::would_block)
        failure = {};
    bool has_expired = false;
    if (!failure && done < head.size() + body.size()) {
        const std::size_t from_head = std::min(done, head.size());
        head.remove_prefix(from_head);
        body.remove_prefix(done - from_head);
        failure = co_await write_slowly(head, body);
        has_expired = failure == asio::error::timed_out;
    }
    if (!failure)
        co_return core::result<void>();
    close_socket();
    caller_left(failure);
    if (has_expired)
        co_return core::fail(
            core::error_kind::timeout,
            "the caller " + peer_ + " took no bytes within the write timeout",
            "drop the exchange; the caller may connect again");
    co_return core::fail(
        core::error_kind::unavailable,
        "the caller " + peer_ + " is gone: " + failure.message(),
        "drop the exchange; the caller may connect again");
}

asio::awaitable<error_code>
connection::write_slowly(std::string_view head, std::string_view body)
{
    const memory::activity before = doing_;
    if (before != memory::activity::closing)
        set_activity(memory::activity::sending);
    const deadline guard(
        executor_,
        socket_,
        server_->limits().write_timeout,
        expiry_action::close);
    const std::array<asio::const_buffer, 2> bytes{
        asio::buffer(head), asio::buffer(body)};
    boost::beast::buffers_suffix rest(bytes);
    error_code failure;
    while (!failure && asio::buffer_size(rest) > 0) {
        const std::size_t count = co_await socket_.async_write_some(
            rest, asio::redirect_error(asio::use_awaitable, failure));
        rest.consume(count);
        record_progress(count);
    }
    if (before != memory::activity::closing)
        set_activity(before);
    if (failure && guard.has_expired())
        co_return asio::error::timed_out;
    co_return failure;
}

} // namespace godwit::http
