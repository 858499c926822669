#include <godwit/entry/upstream.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/server_limit_exchange.hpp>
#include <godwit/entry/server_probe.hpp>
#include <godwit/entry/server_responses.hpp>
#include <godwit/http/growing_body.hpp>
#include <godwit/http/take_room.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// A server that responds to one request twice sends the second response where
// the response to the next request is expected. Such a response is skipped;
// more than a few in a row mean that the server is broken.
constexpr int max_foreign_responses = 3;
// A connection attempt may use up half of the latency objective.
constexpr int connect_timeout_divisor = 2;
// A server stops work at the deadline that it was sent, which is in whole
// milliseconds and counts from when the request arrives there.
constexpr core::duration deadline_margin = std::chrono::milliseconds(20);
// Health checks wait for a slot like any other request, and a server that does
// not respond for a second may still be sound.
constexpr core::duration max_probe_time = std::chrono::seconds(1);
// To skip more costs more than a new connection.
constexpr std::size_t max_foreign_bytes = std::size_t{1024} * 1024;

// Reading and parsing a response, beside the kernel's buffer.
constexpr std::size_t exchange_bytes = std::size_t{24} * 1024;
constexpr memory::amounts exchange_amounts{
    server_connector::kernel_buffers.receive_bytes + exchange_bytes, 1};

core::duration time_until(core::time_point end)
{
    return std::max(
        end - core::monotonic_now(),
        core::duration(std::chrono::milliseconds(1)));
}

upstream_failure to_failure(const http::client_error& error)
{
    upstream_fault fault = upstream_fault::lost;
    if (error.handed_over == http::bytes_handed_over::none)
        fault = upstream_fault::unreachable;
    else if (error.cause.kind() == core::error_kind::timeout)
        fault = upstream_fault::timed_out;
    return upstream_failure{fault, error.cause};
}

upstream_failure invalid_response(std::string what)
{
    return upstream_failure{
        upstream_fault::lost,
        core::error(
            core::error_kind::protocol,
            std::move(what),
            "check the backend server; its connection was closed")};
}

} // namespace

upstream::upstream(
    entry_context& context,
    placement::backend_server server,
    core::duration objective)
    : context_(context), server_(std::move(server)),
      connect_timeout_(std::clamp(
          objective / connect_timeout_divisor,
          min_connect_timeout,
          max_connect_timeout)),
      held_(context.account->open(
          memory::activity::serving, core::monotonic_now()))
{}

// A control request takes little, and what it settles, like the end of a run,
// can't wait for room.
asio::awaitable<bool> upstream::take_exchange_room(core::time_point end)
{
    const core::time_point latest =
        std::min(end, core::monotonic_now() + http::room_timeout);
    bool has_room = true;
    if (awaited_.is_control_request())
        held_.take_existing(exchange_amounts);
    else
        has_room = co_await http::take_room(held_, exchange_amounts, latest);
    if (has_room)
        exchange_room_ = exchange_amounts;
    co_return has_room;
}

void upstream::give_back_exchange_room()
{
    held_.give_back(std::exchange(exchange_room_, memory::amounts()));
}

asio::awaitable<bool> upstream::hold(std::size_t bytes)
{
    const std::size_t wanted = exchange_room_.bytes + bytes;
    const std::size_t held = held_.held().bytes;
    if (wanted > held)
        co_return co_await http::take_room(
            held_,
            {wanted - held, 0},
            core::monotonic_now() + http::room_timeout);
    held_.give_back({held - wanted, 0});
    co_return true;
}

memory::client_account::holder upstream::take_held()
{
    give_back_exchange_room();
    return std::move(held_);
}

asio::awaitable<upstream_result<void>> upstream::connect(core::time_point end)
{
    const bool has_room = co_await take_exchange_room(end);
    if (!has_room)
        co_return tl::unexpected(upstream_failure{
            upstream_fault::unreachable,
            core::error(
                core::error_kind::exhausted,
                "this host has no memory for a further exchange",
                "send the request again later, or to another entry host"),
            true});
    http::connection_pool& kept = *context_.connections;
    stream_ = may_follow_unnamed_ ? kept.take(server_.address)
                                  : kept.take_after_named(server_.address);
    if (stream_)
        co_return upstream_result<void>();
    auto opened = co_await kept.open(
        server_.address, std::min(time_until(end), connect_timeout_));
    if (!opened)
        co_return tl::unexpected(to_failure(opened.error()));
    stream_ = std::move(*opened);
    co_return upstream_result<void>();
}

asio::awaitable<upstream_result<http::response_head>> upstream::send(
    http::request outgoing, std::string attempt_id, core::time_point end)
{
    // A response to a request without an id names nothing.
    may_follow_unnamed_ = !attempt_id.empty();
    awaited_ = awaited_response::to_attempt(std::move(attempt_id));
    co_return co_await send_and_read_head(std::move(outgoing), end);
}

asio::awaitable<upstream_result<http::response_head>>
upstream::send_control_request(
    http::request outgoing, bool is_repeatable, core::time_point end)
{
    awaited_ = awaited_response::to_control_request();
    may_follow_unnamed_ = is_repeatable;
    co_return co_await send_and_read_head(std::move(outgoing), end);
}

asio::awaitable<upstream_result<http::response_head>>
upstream::send_and_read_head(http::request outgoing, core::time_point end)
{
    const auto connected = co_await connect(end);
    if (!connected)
        co_return tl::unexpected(connected.error());
    if (is_cancelled_) {
        stream_->cancel();
        co_return tl::unexpected(upstream_failure{
            upstream_fault::unreachable,
            core::error(
                core::error_kind::unavailable,
                "the caller disconnected during the connection attempt",
                "nothing; the request was not sent")});
    }
    sent_at_ = core::monotonic_now();
    if (!awaited_.is_control_request()) {
        record_request(context_, server_.id);
        context_.link.record_sent(outgoing.body.size(), sent_at_);
    }
    const auto sent =
        co_await stream_->send(std::move(outgoing), time_until(end));
    if (!sent)
        co_return tl::unexpected(to_failure(sent.error()));
    co_return co_await read_own_head(end);
}

asio::awaitable<upstream_result<http::response_head>>
upstream::read_own_head(core::time_point end)
{
    for (int foreign = 0; foreign < max_foreign_responses; ++foreign) {
        auto head = co_await stream_->read_head(time_until(end));
        if (!head)
            co_return tl::unexpected(to_failure(head.error()));
        const response_metadata response =
            context_.codec.read_response_metadata(head->fields);
        const bool is_first = stream_->requests_sent() == 1 && foreign == 0;
        const response_owner owner =
            awaited_.owner_of(head->status, response, is_first);
        if (owner == response_owner::awaiting) {
            if (!awaited_.is_control_request())
                observe_response(
                    context_, server_, head->status, response, sent_at_);
            co_return std::move(*head);
        }
        upstream_failure rejected =
            reject_response(head->status, response.attempt_id);
        if (owner == response_owner::unknown)
            co_return tl::unexpected(std::move(rejected));
        const auto discarded = co_await discard_body(end);
        if (!discarded)
            co_return tl::unexpected(discarded.error());
    }
    co_return tl::unexpected(invalid_response(
        server_.address.to_string() + " responded to other requests"));
}

upstream_failure
upstream::reject_response(unsigned status, const std::string& attempt_id)
{
    has_foreign_response_ = true;
    log_foreign_response(server_, awaited_.attempt_id(), status, attempt_id);
    context_.metrics
        ->counter(
            "godwit_foreign_responses_total",
            "Responses of servers that belong to another request than the "
            "awaiting one.")
        .Increment();
    return invalid_response(
        server_.address.to_string() +
        " sent a response that may be to another request, with status " +
        std::to_string(status));
}

asio::awaitable<upstream_result<std::optional<std::string>>>
upstream::read_some(core::time_point end)
{
    auto chunk = co_await stream_->read_some(time_until(end));
    if (!chunk)
        co_return tl::unexpected(to_failure(chunk.error()));
    if (*chunk)
        context_.link.record_received((*chunk)->size(), core::monotonic_now());
    co_return std::move(*chunk);
}

asio::awaitable<upstream_result<void>>
upstream::discard_body(core::time_point end)
{
    // Only the end of the connection would end it.
    if (!stream_->is_body_delimited())
        co_return tl::unexpected(invalid_response(
            server_.address.to_string() +
            " sent a response to another request that has no end"));
    std::size_t discarded = 0;
    while (discarded <= max_foreign_bytes) {
        const auto chunk = co_await read_some(end);
        if (!chunk)
            co_return tl::unexpected(chunk.error());
        if (!chunk->has_value())
            co_return upstream_result<void>();
        discarded += (*chunk)->size();
    }
    co_return tl::unexpected(invalid_response(
        server_.address.to_string() +
        " sent a response to another request of "
        "more than " +
        std::to_string(max_foreign_bytes) + " bytes"));
}

asio::awaitable<upstream_result<std::string>>
upstream::read_all(core::time_point end)
{
    std::string body;
    while (true) {
        auto chunk = co_await read_some(end);
        if (!chunk)
            co_return tl::unexpected(chunk.error());
        if (!chunk->has_value() && !co_await is_response_whole(end))
            co_return tl::unexpected(upstream_failure{
                upstream_fault::lost,
                core::error(
                    core::error_kind::unavailable,
                    "reading the body from " + server_.address.to_string() +
                        ": the connection ended, perhaps before the response",
                    "check that the server is running and can be reached")});
        if (!chunk->has_value())
            co_return body;
        const std::size_t capacity = http::grown_capacity(
            body.capacity(), body.size() + (*chunk)->size());
        const bool has_room =
            capacity <= context_.account->limits().largest_body_bytes() &&
            co_await hold(capacity);
        if (!has_room)
            co_return tl::unexpected(invalid_response(
                "there is no memory for the response of " +
                server_.address.to_string() + ", of more than " +
                std::to_string(body.size()) + " bytes"));
        http::grow_to(body, capacity);
        body += **chunk;
    }
}

bool upstream::is_response_delimited() const noexcept
{
    return stream_ && stream_->is_body_delimited();
}

// The kernel ends the connections of a killed process in the same orderly way
// as a server that is done, a host that ends takes the connections through its
// tunnels along while their servers run on, and a server stops a response in
// time for the deadline that it was sent.
asio::awaitable<bool> upstream::is_response_whole(core::time_point end)
{
    // The status and the notation of a control response say whether it is
    // whole.
    if (is_response_delimited() || awaited_.is_control_request())
        co_return true;
    const core::time_point now = core::monotonic_now();
    const bool is_tunnelled = stream_ && stream_->is_tunnelled();
    const bool is_at_deadline = now + deadline_margin >= end;
    process_state state = process_state::unknown;
    if (!is_tunnelled && !is_at_deadline && !is_cancelled_)
        state = co_await probe_process(
            context_, server_, std::min(now + max_probe_time, end));
    const bool is_whole = state == process_state::running;
    log_undelimited_response(
        awaited_.attempt_id(), server_, state, is_tunnelled);
    context_.metrics
        ->counter(
            "godwit_undelimited_responses_total",
            "Responses that only the end of their connection ended.")
        .Increment();
    if (!is_whole)
        context_.metrics
            ->counter(
                "godwit_undelimited_responses_lost_total",
                "Such responses that may have been cut, and count as lost.")
            .Increment();
    co_return is_whole;
}

void upstream::cancel() noexcept
{
    is_cancelled_ = true;
    if (stream_)
        stream_->cancel();
}

void upstream::release_connection()
{
    const bool is_state_known = !is_cancelled_ && !has_foreign_response_;
    if (stream_ && is_state_known)
        context_.connections->give_back(
            server_.address,
            std::move(*stream_),
            awaited_.attempt_id().empty() ? http::response_naming::unnamed
                                          : http::response_naming::named);
    stream_.reset();
    give_back_exchange_room();
}

} // namespace godwit::entry
