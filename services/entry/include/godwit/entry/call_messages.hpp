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

namespace godwit::entry {

/// The caller's request as a backend server gets it. The time left and the
/// organisation are filled in; `terms` brings the rest.
[[nodiscard]] http::request forwarded_request(
    const entry_context& context,
    const routed_call& call,
    forwarding_metadata terms);

/// The fingerprint of the request as received from the caller.
[[nodiscard]] admission::request_fingerprint
fingerprint_of(const routed_call& call);

/// Answers the call from this host: logged, counted, and with when to come
/// back where it has not run. The arguments live until it is done.
boost::asio::awaitable<void> refuse_call(
    const routed_call& call,
    telemetry::request_metrics& metrics,
    refusal_reason reason,
    core::duration retry_after);

} // namespace godwit::entry
