#pragma once

#include <string_view>

namespace godwit::request {

/// Why a request ended without its whole answer.
enum class fail_reason
{
    queue_refused,        ///< Dispatch refused it: crowded, or over a limit.
    no_backend_server,    ///< No eligible backend server is left.
    claim_unavailable,    ///< The claims stream cannot be reached.
    claim_timeout,        ///< The claim was not settled in time.
    claim_expired,        ///< The claim was won too late to start safely.
    claim_outside_window, ///< The key is too old to tell whether it ran.
    key_reused,           ///< The idempotency key is another request's.
    run_failed,           ///< An earlier try ran and failed.
    holder_lost,          ///< The entry host that holds the claim is gone.
    attempts_exhausted,   ///< Every allowed attempt failed.
    declined,             ///< The backend server did not start it.
    retry_budget,         ///< The service's retry budget is spent.
    backend_server_lost,  ///< The backend server or the generation is gone.
    link_broken,          ///< The connection broke after bytes were sent.
    answer_crossed,       ///< The answer belonged to another request.
    token_gap,            ///< Tokens are missing and did not come again.
    backend_error,        ///< The backend server answered with a failure.
    deadline,             ///< The caller's deadline passed.
    caller_gone,          ///< The caller closed its connection.
    caller_slow,          ///< The caller read too slowly for too long.
    drain_limit,          ///< This process stops and its limit passed.
    service_gone,         ///< The catalogue no longer has the service.
};

/// The name of `reason` as it appears in answers and logs.
[[nodiscard]] std::string_view to_string(fail_reason reason) noexcept;

/// What the caller can do about `reason`, as one clause.
[[nodiscard]] std::string_view remedy_for(fail_reason reason) noexcept;

/// The HTTP status for `reason` where no answer has begun.
[[nodiscard]] int http_status_for(fail_reason reason) noexcept;

} // namespace godwit::request
