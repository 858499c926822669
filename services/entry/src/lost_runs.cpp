#include <godwit/entry/lost_runs.hpp>

#include <godwit/entry/call_answers.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/crash_words.hpp>

namespace godwit::entry {

bool is_lost_run(const upstream_failure& failure)
{
    return failure.fault == upstream_fault::lost &&
           failure.cause.kind() == core::error_kind::unavailable;
}

void record_lost_run(
    entry_context& context,
    const accepted_call& call,
    const placement::backend_server& server)
{
    const admission::request_fingerprint request = fingerprint_of(call);
    // A server may abort its runs when it leaves, so such losses are expected.
    const bool server_leaves = context.directory.left_at(server.id).has_value();
    log_run_lost(call, server, request, server_leaves);
    if (server_leaves)
        return;
    const core::time_point now = core::monotonic_now();
    const admission::crash_report report{
        request,
        call.organisation.value_or(core::organisation_name()),
        {{server.id, server.start}},
        now};
    if (!context.quarantine.add(report, now))
        return;
    log_crash_count(
        context.settings.host.value(),
        request,
        context.quarantine.crash_count(request),
        context.quarantine.is_quarantined(request, now));
    if (context.tell)
        context.tell(wire::crash_reports{{to_wire(report, now)}, {}});
    if (context.on_quarantined &&
        context.quarantine.is_quarantined(request, now))
        context.on_quarantined(*context.quarantine.find(request));
}

void record_completed_run(entry_context& context, const accepted_call& call)
{
    if (context.quarantine.empty())
        return;
    const admission::request_fingerprint request = fingerprint_of(call);
    const bool was_quarantined =
        context.quarantine.is_quarantined(request, core::monotonic_now());
    if (!context.quarantine.remove(request))
        return;
    log_crash_count(context.settings.host.value(), request, 0, false);
    if (context.tell)
        context.tell(wire::crash_reports{{}, {request.value()}});
    if (was_quarantined && context.on_quarantine_lifted)
        context.on_quarantine_lifted(request);
}

bool is_quarantined(const entry_context& context, const accepted_call& call)
{
    return !context.quarantine.empty() &&
           context.quarantine.is_quarantined(
               fingerprint_of(call), core::monotonic_now());
}

} // namespace godwit::entry
