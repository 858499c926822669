#include <godwit/entry/call_messages.hpp>

#include <godwit/admission/shutdown_schedule.hpp>
#include <godwit/entry/call_log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

http::request forwarded_request(
    const entry_context& context,
    const routed_call& call,
    forwarding_metadata metadata)
{
    const http::request& received = call.exchange.received();
    metadata.time_left = std::max(
        call.deadline - core::monotonic_now(),
        core::duration(std::chrono::milliseconds(1)));
    metadata.organisation = call.organisation;
    return http::request{
        received.method,
        received.target,
        context.codec.request_fields(received.fields, metadata),
        received.body};
}

admission::request_fingerprint fingerprint_of(const routed_call& call)
{
    const http::request& received = call.exchange.received();
    return admission::fingerprint_of(
        {call.organisation.value_or(core::organisation_name()),
         received.method,
         received.fields.find("Host").value_or(""),
         received.target,
         received.body.text()});
}

std::vector<admission::request_fingerprint>
prompt_part_fingerprints(const entry_context& context, const routed_call& call)
{
    std::vector<admission::request_fingerprint> fingerprints;
    for (const std::string& id : context.codec.read_shared_prompt_parts(
             call.exchange.received().fields))
        fingerprints.push_back(admission::fingerprint_of_prompt_part(id));
    return fingerprints;
}

boost::asio::awaitable<void> refuse_call(
    const routed_call& call,
    telemetry::request_metrics& metrics,
    refusal_reason reason,
    core::duration retry_after)
{
    const core::time_point now = core::monotonic_now();
    log_refused(
        call.metadata.attempt_id,
        call.route.name,
        reason,
        call.routes->version(),
        now - call.arrival_time);
    metrics.finished(outcome_of(reason), now);
    const bool may_retry = outcome_of(reason) == core::outcome::not_run &&
                           reason != refusal_reason::quarantined;
    // The next request of the caller reaches a host that goes on.
    if (reason == refusal_reason::host_stopping)
        retry_after = admission::shutdown_retry_after;
    http::response response = make_refusal_response(
        reason,
        may_retry ? std::optional<core::duration>(retry_after) : std::nullopt);
    // Writing fails if the caller has disconnected; it needs no response then.
    [[maybe_unused]] const auto sent =
        co_await call.exchange.respond(std::move(response));
}

} // namespace godwit::entry
