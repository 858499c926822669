#include <godwit/entry/lost_runs.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_messages.hpp>
#include <godwit/entry/crash_report_conversion.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/fetch.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// A server that does not respond within this time counts as crashed.
constexpr core::duration probe_timeout = std::chrono::milliseconds(250);

void record_crash(entry_context& context, const admission::crash_report& report)
{
    if (!context.quarantine.add(report))
        return;
    const bool is_quarantined =
        context.quarantine.is_quarantined(report.request);
    log_crash_count(
        context.settings.host.value(),
        report.request,
        context.quarantine.crash_count(report.request),
        is_quarantined);
    if (context.broadcast)
        context.broadcast(
            wire::crash_reports{{to_wire(report, core::monotonic_now())}, {}});
    if (is_quarantined && context.on_quarantined)
        context.on_quarantined(*context.quarantine.find(report.request));
}

// Requests the report of an engine, which also shows whether the engine
// restarted. Other servers have no inexpensive endpoint, so only a connection
// is opened to them.
asio::awaitable<bool> is_alive(
    entry_context& context,
    const placement::backend_server& server,
    bool is_engine)
{
    // A neighbour confirms that the server, not this host, is cut off.
    auto opened =
        co_await context.connector.open_any_way(server.address, probe_timeout);
    if (!opened || !is_engine)
        co_return opened.has_value();
    http::request outgoing = context.codec.write_report_request();
    const http::fetch_limits limits{.deadline = probe_timeout};
    const auto fetched = co_await http::fetch(
        *opened, server.address, std::move(outgoing), limits);
    if (!fetched)
        co_return false;
    const auto report = context.codec.read_report(*fetched);
    // Either start time may be unknown; only two known start times that differ
    // show a restart.
    const bool has_restarted = report && report->start.is_known() &&
                               server.start.is_known() &&
                               report->start != server.start;
    co_return !has_restarted;
}

asio::awaitable<void> probe_server(
    entry_context& context,
    const placement::backend_server& server,
    bool is_engine,
    const std::shared_ptr<crash_probe>& probe)
{
    const bool is_running = co_await is_alive(context, server, is_engine);
    context.crash_probes.erase(server.id);
    if (is_running) {
        log_server_alive(server, probe->reports.size());
        co_return;
    }
    for (const admission::crash_report& report : probe->reports)
        record_crash(context, report);
}

// A connection may break although the server still runs. Probes the server
// before the crash is recorded; runs lost meanwhile share the same probe.
void confirm_crash(
    entry_context& context,
    const placement::backend_server& server,
    bool is_engine,
    admission::crash_report report)
{
    auto& probe = context.crash_probes[server.id];
    if (probe) {
        probe->reports.push_back(std::move(report));
        return;
    }
    probe = std::make_shared<crash_probe>();
    probe->reports.push_back(std::move(report));
    spawn(
        context.executor,
        "crash_probe",
        [&context, server, is_engine, probe]() -> asio::awaitable<void> {
            co_await probe_server(context, server, is_engine, probe);
        },
        [&context, id = server.id, probe] {
            const auto found = context.crash_probes.find(id);
            if (found != context.crash_probes.end() && found->second == probe)
                context.crash_probes.erase(found);
        });
}

} // namespace

bool is_lost_run(const upstream_failure& failure)
{
    return failure.fault == upstream_fault::lost &&
           failure.cause.kind() == core::error_kind::unavailable;
}

void record_lost_run(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server)
{
    const admission::request_fingerprint request = fingerprint_of(call);
    // A draining server may abort its runs, so such losses are expected.
    const bool is_server_draining =
        context.directory.left_at(server.id).has_value();
    log_run_lost(
        call,
        server,
        request,
        prompt_part_fingerprints(context, call),
        is_server_draining);
    if (is_server_draining)
        return;
    confirm_crash(
        context,
        server,
        call.service.engine.has_value(),
        {request,
         call.organisation.value_or(core::organisation_name()),
         {{server.id, server.start, core::monotonic_now()}}});
}

void record_completed_run(entry_context& context, const routed_call& call)
{
    if (!context.quarantine.is_tracking())
        return;
    const admission::request_fingerprint request = fingerprint_of(call);
    if (!context.quarantine.is_known(request))
        return;
    const bool was_quarantined = context.quarantine.is_quarantined(request);
    if (!context.quarantine.remove(request, core::monotonic_now()))
        return;
    log_crash_count(context.settings.host.value(), request, 0, false);
    if (context.broadcast)
        context.broadcast(wire::crash_reports{{}, {request.value()}});
    if (was_quarantined && context.on_quarantine_lifted)
        context.on_quarantine_lifted(request);
}

} // namespace godwit::entry
