#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/response_metadata.hpp>
#include <godwit/http/response.hpp>

namespace godwit::entry {

/// Applies what a backend server's response to a request of `sent_at` says
/// about the server itself.
void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    unsigned status,
    const response_metadata& metadata,
    core::time_point sent_at);

/// The same for a response to a call about the server's own state.
void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    const http::response& response,
    core::time_point sent_at);

} // namespace godwit::entry
