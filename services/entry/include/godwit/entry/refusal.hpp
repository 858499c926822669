#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/response.hpp>
#include <godwit/memory/account_limits.hpp>

#include <optional>
#include <string_view>

namespace godwit::entry {

/// Why this host responds to a request with an error of its own.
enum class refusal_reason
{
    no_routes,       ///< 503: no version of the route table is known yet.
    routes_outdated, ///< 503: the table in force denies the request, but a
                     ///< newer version is known to exist.
    no_such_route,   ///< 404.
    unknown_key,     ///< 401.
    no_server,       ///< 503: no server offers the service now.
    no_room,         ///< 503: every server is full.
    no_memory,       ///< 503: this host holds too much for other requests.
    servers_refused, ///< 503: the servers reported that they did not run it.
    servers_limited, ///< 503: the servers' request limits are used up.
    zones_evacuated, ///< 503: every server is in an evacuated zone.
    /// 503: the route and the organisation allow no region in common, or none
    /// that the deployment has.
    no_allowed_region,
    regions_without_server, ///< 503: no server is in an allowed region now.
    quarantined,            ///< 503: the request crashes servers that run it.
    host_stopping,          ///< 503: this host ends before it could answer.
    answer_lost,            ///< 502: a server may have run it.
    answer_spoiled,         ///< 502: a server's response cannot be trusted.
    out_of_time,            ///< 504: a server may have run it.
};

/// Sent as Retry-After by a host without memory. By then, clients that neither
/// send nor read have lost their place.
inline constexpr core::duration room_retry_after =
    memory::account_limits().stall_time;

/// The name of `reason` as it appears in logs and responses.
[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

/// Returns `not_run` if the request certainly did not run, so that the caller
/// can rely on that when it sends the request again, else `unknown`.
[[nodiscard]] core::outcome outcome_of(refusal_reason reason) noexcept;

/// Returns this host's own error as a problem document (RFC 9457), with a
/// Retry-After field if `retry_after` is set.
[[nodiscard]] http::response make_refusal_response(
    refusal_reason reason,
    std::optional<core::duration> retry_after = std::nullopt);

/// Returns the error for a request that the HTTP server rejected.
[[nodiscard]] http::response
make_rejection_response(const http::rejection& rejection);

} // namespace godwit::entry
