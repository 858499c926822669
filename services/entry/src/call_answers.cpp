#include <godwit/entry/call_answers.hpp>

#include <godwit/entry/call_log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

http::request forwarded_request(
    const entry_context& context,
    const accepted_call& call,
    forwarding_metadata terms)
{
    const http::request& received = call.caller.received();
    terms.time_left = std::max(
        call.ends - core::monotonic_now(),
        core::duration(std::chrono::milliseconds(1)));
    terms.organisation = call.organisation;
    return http::request{
        received.method,
        received.target,
        context.codec.forwarded_fields(received.fields, terms),
        received.body};
}

admission::request_fingerprint fingerprint_of(const accepted_call& call)
{
    const http::request& received = call.caller.received();
    return admission::fingerprint_of(
        {call.organisation.value_or(core::organisation_name()),
         received.method,
         received.fields.find("Host").value_or(""),
         received.target,
         received.body});
}

boost::asio::awaitable<void> refuse_call(
    const accepted_call& call,
    telemetry::request_metrics& metrics,
    refusal_reason reason,
    core::duration come_back_after)
{
    const core::time_point now = core::monotonic_now();
    log_refused(
        call.metadata.attempt_id,
        call.via.name,
        reason,
        call.routes->version(),
        now - call.arrived);
    metrics.finished(outcome_of(reason), now);
    const bool can_come_back = outcome_of(reason) == core::outcome::not_run &&
                               reason != refusal_reason::quarantined;
    http::response answer = make_refusal(
        reason,
        can_come_back ? std::optional<core::duration>(come_back_after)
                      : std::nullopt);
    // A caller that is gone needs no answer.
    [[maybe_unused]] const auto sent =
        co_await call.caller.respond(std::move(answer));
}

} // namespace godwit::entry
