#include <godwit/entry/server_responses.hpp>

#include <godwit/entry/server_limit_exchange.hpp>

namespace godwit::entry {

namespace {

// The status of a server that is not the one that a request names. What its
// response says is about itself.
constexpr unsigned misdirected_request = 421;

} // namespace

void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    unsigned status,
    const response_metadata& metadata,
    core::time_point sent_at)
{
    if (status == misdirected_request)
        return;
    update_limit(context, server, metadata, sent_at);
    if (metadata.is_leaving && context.on_server_leaving)
        context.on_server_leaving(server);
}

void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    const http::response& response,
    core::time_point sent_at)
{
    const response_metadata metadata =
        context.codec.read_response_metadata(response.fields);
    if (response.status == misdirected_request || !metadata.is_leaving)
        return;
    observe_response(context, server, response.status, metadata, sent_at);
}

} // namespace godwit::entry
