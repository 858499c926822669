#include <godwit/entry/server_hold.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/http/fetch.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// The answer takes no work of the server's. One that is silent for longer
// cannot be reached, and another one still can in time.
constexpr core::duration answer_limit = std::chrono::milliseconds(250);
// The request follows at once. What a hold has beyond the request's need, or
// all of it when the request's host dies, stays taken until the hold ends.
constexpr core::duration hold_span = std::chrono::milliseconds(400);

} // namespace

asio::awaitable<hold_response> acquire_hold(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens)
{
    const hold_request order{
        tokens, std::min(hold_span, call.service.engine->max_hold)};
    http::request outgoing = context.codec.write_hold_request(order);
    const core::duration left = call.deadline - core::monotonic_now();
    const http::fetch_limits limits{.deadline = std::min(answer_limit, left)};
    const auto answered = co_await http::fetch(
        *context.connections, server.address, std::move(outgoing), limits);
    hold_response answer;
    answer.status = hold_status::unreachable;
    if (answered)
        answer = context.codec.read_hold_response(*answered);
    if (answer.status != hold_status::granted)
        log_hold_failed(
            call,
            server,
            tokens,
            answered ? std::to_string(answered->status)
                     : answered.error().cause.message());
    co_return answer;
}

void release_hold(
    entry_context& context,
    const placement::backend_server& server,
    std::string handle)
{
    spawn(
        context.executor,
        "hold_release",
        [&context,
         address = server.address,
         handle = std::move(handle)]() -> asio::awaitable<void> {
            http::request outgoing = context.codec.write_hold_release(handle);
            const http::fetch_limits limits{.deadline = answer_limit};
            // Otherwise the hold ends by itself.
            [[maybe_unused]] const auto freed = co_await http::fetch(
                *context.connections, address, std::move(outgoing), limits);
        });
}

} // namespace godwit::entry
