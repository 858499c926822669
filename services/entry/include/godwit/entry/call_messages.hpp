#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/forwarding_metadata.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/http/request.hpp>
#include <godwit/telemetry/request_metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace godwit::entry {

/// Returns the caller's request as it is sent to a backend server. Fills in the
/// time left and the organisation; the rest comes from `metadata`.
[[nodiscard]] http::request forwarded_request(
    const entry_context& context,
    const routed_call& call,
    forwarding_metadata metadata);

/// Returns the fingerprint of the request as received from the caller.
[[nodiscard]] admission::request_fingerprint
fingerprint_of(const routed_call& call);

/// Returns the fingerprints of the parts of the request's prompt that other
/// requests may have too, in order.
[[nodiscard]] std::vector<admission::request_fingerprint>
prompt_part_fingerprints(const entry_context& context, const routed_call& call);

/// Responds to the call with this host's own error, logs and counts it. The
/// response has a Retry-After field if the request has not run. The arguments
/// must outlive the coroutine.
boost::asio::awaitable<void> refuse_call(
    const routed_call& call,
    telemetry::request_metrics& metrics,
    refusal_reason reason,
    core::duration retry_after);

} // namespace godwit::entry
