#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/response.hpp>

#include <optional>
#include <string_view>

namespace godwit::entry {

/// Why this host answers a request itself.
enum class refusal_reason
{
    no_routes,       ///< 503: no version of the routes is known yet.
    no_such_route,   ///< 404.
    unknown_key,     ///< 401.
    no_server,       ///< 503: nobody serves the service now.
    no_room,         ///< 503: every server is full.
    servers_refused, ///< 503: the servers said that they did not run it.
    servers_limited, ///< 503: the servers' request limits are used up.
    quarantined,     ///< 503: the request crashes servers that run it.
    answer_lost,     ///< 502: a server may have run it.
    answer_spoiled,  ///< 502: a server's answer cannot be trusted.
    out_of_time,     ///< 504: a server may have run it.
};

/// The name of `reason` as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

/// What the caller may believe about the request.
[[nodiscard]] core::outcome outcome_of(refusal_reason reason) noexcept;

/// This host's own answer: a problem document (RFC 9457), with when to come
/// back where that can help.
[[nodiscard]] http::response make_refusal_response(
    refusal_reason reason,
    std::optional<core::duration> retry_after = std::nullopt);

/// The same for requests that the server of callers turned away.
[[nodiscard]] http::response
make_rejection_response(const http::rejection& why);

} // namespace godwit::entry
