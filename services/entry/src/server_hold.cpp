#include <godwit/entry/server_hold.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/control_exchange.hpp>
#include <godwit/entry/server_responses.hpp>
#include <godwit/entry/spawn.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Responding costs a server no work. A server that takes longer counts as
// unreachable, so that another server can still be tried in time.
constexpr core::duration response_timeout = std::chrono::milliseconds(250);
// An unused hold blocks capacity, so its lifetime is short: what the request
// does not need stays reserved until the hold expires, and so does all of it if
// the request's host dies. A short lifetime suffices, since the request follows
// at once.
constexpr core::duration hold_lifetime = std::chrono::milliseconds(400);

constexpr unsigned min_failure_status = 300;

} // namespace

asio::awaitable<hold_response> acquire_hold(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens)
{
    const hold_request request{
        tokens, std::min(hold_lifetime, call.service.engine->max_hold)};
    http::request outgoing = context.codec.write_hold_request(request);
    const core::duration remaining = call.deadline - core::monotonic_now();
    control_request asked;
    asked.message = std::move(outgoing);
    asked.timeout = std::min(response_timeout, remaining);
    asked.accepts = [&context](const http::response& received) {
        return context.codec.read_hold_response(received).status !=
                   hold_status::failed ||
               received.status >= min_failure_status;
    };
    const core::time_point sent_at = core::monotonic_now();
    const auto fetched =
        co_await exchange_control(context, server, std::move(asked));
    hold_response response;
    response.status = hold_status::unreachable;
    if (fetched) {
        observe_response(context, server, *fetched, sent_at);
        response = context.codec.read_hold_response(*fetched);
    }
    if (response.status != hold_status::granted)
        log_hold_failed(
            call,
            server,
            tokens,
            fetched ? std::to_string(fetched->status)
                    : fetched.error().cause.message());
    co_return response;
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
         server,
         handle = std::move(handle)]() -> asio::awaitable<void> {
            control_request release;
            release.message = context.codec.write_hold_release(handle);
            release.timeout = response_timeout;
            // If this fails, the hold expires by itself.
            [[maybe_unused]] const auto freed =
                co_await exchange_control(context, server, std::move(release));
        });
}

} // namespace godwit::entry
