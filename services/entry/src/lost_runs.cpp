#include <godwit/entry/lost_runs.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_messages.hpp>
#include <godwit/entry/crash_report_conversion.hpp>
#include <godwit/entry/server_probe.hpp>
#include <godwit/entry/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

using fingerprints = std::set<admission::request_fingerprint>;

// Records the crashes of the probed runs and reports them to the other hosts in
// one message, so that they judge all runs of a server together.
void record_crashes(entry_context& context, const crash_probe& probe)
{
    const std::string& host = context.settings.host.value();
    fingerprints sound = sound_prompt_parts(context);
    sound.insert(probe.sustained_parts.begin(), probe.sustained_parts.end());
    wire::crash_reports message;
    std::vector<admission::request_fingerprint> changed;
    for (const admission::crash_report& report : probe.reports) {
        const bool is_sound =
            report.is_prompt_part() && sound.contains(report.request);
        if (is_sound && clear_crashes(context, report.request, host))
            message.completed.push_back(report.request.value());
        if (is_sound || !context.quarantine.add(report))
            continue;
        message.reports.push_back(to_wire(report, core::monotonic_now()));
        changed.push_back(report.request);
    }
    const bool is_empty = message.reports.empty() && message.completed.empty();
    if (!is_empty && context.broadcast)
        context.broadcast(message);
    for (const admission::request_fingerprint& request : changed) {
        const bool is_quarantined = context.quarantine.is_quarantined(request);
        log_crash_count(
            host,
            request,
            context.quarantine.crash_count(request),
            is_quarantined);
        if (is_quarantined && context.on_quarantined)
            context.on_quarantined(*context.quarantine.find(request));
    }
}

// Only the report of an engine costs its server nothing, so that other servers
// are only connected to.
asio::awaitable<bool> is_alive(
    entry_context& context,
    const placement::backend_server& server,
    bool is_engine)
{
    if (is_engine) {
        const core::time_point end = core::monotonic_now() + probe_timeout;
        const process_state state =
            co_await probe_process(context, server, end);
        co_return state != process_state::gone&& state !=
            process_state::unknown;
    }
    // A neighbour confirms that the server, not this host, is cut off.
    const auto opened =
        co_await context.connector.open_any_way(server.address, probe_timeout);
    co_return opened.has_value();
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
    record_crashes(context, *probe);
}

// Returns what may have crashed the server that lost the run.
std::vector<admission::crash_report> crash_reports_of(
    const routed_call& call,
    const admission::request_fingerprint& request,
    const std::vector<admission::request_fingerprint>& prompt_parts,
    const admission::server_crash& crash)
{
    const core::organisation_name organisation =
        call.organisation.value_or(core::organisation_name());
    std::vector<admission::crash_report> reports{
        {request, organisation, {crash}}};
    std::uint32_t position = 0;
    for (const admission::request_fingerprint& part : prompt_parts)
        reports.push_back({part, organisation, {crash}, position++});
    return reports;
}

// A connection may break although the server still runs. Probes the server
// before the crash is recorded; runs lost meanwhile share the same probe.
void confirm_crash(
    entry_context& context,
    const placement::backend_server& server,
    bool is_engine,
    const crash_probe& lost)
{
    auto& probe = context.crash_probes[server.id];
    if (probe) {
        probe->add(lost);
        return;
    }
    probe = std::make_shared<crash_probe>(lost);
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
    const placement::backend_server& server,
    run_progress progress)
{
    const admission::request_fingerprint request = fingerprint_of(call);
    const auto prompt_parts = prompt_part_fingerprints(context, call);
    // A draining server may abort its runs, so such losses are expected.
    const bool is_server_draining =
        context.directory.left_at(server.id).has_value();
    log_run_lost(call, server, request, prompt_parts, is_server_draining);
    if (is_server_draining)
        return;
    crash_probe lost;
    lost.reports = crash_reports_of(
        call,
        request,
        prompt_parts,
        {server.id, server.start, core::monotonic_now()});
    if (progress == run_progress::sustained)
        lost.sustained_parts.insert(prompt_parts.begin(), prompt_parts.end());
    confirm_crash(context, server, call.service.engine.has_value(), lost);
}

void record_completed_run(
    entry_context& context,
    const routed_call& call,
    completed_response response)
{
    if (response == completed_response::generated)
        context.completed_prompts.add(
            context.codec.read_shared_prompt_parts(
                call.exchange.received().fields),
            core::monotonic_now());
    if (!context.quarantine.is_tracking())
        return;
    std::vector<admission::request_fingerprint> completed{fingerprint_of(call)};
    if (response == completed_response::generated) {
        const auto parts = prompt_part_fingerprints(context, call);
        completed.insert(completed.end(), parts.begin(), parts.end());
    }
    wire::crash_reports message;
    for (const admission::request_fingerprint& request : completed) {
        if (context.quarantine.is_known(request) &&
            clear_crashes(context, request, context.settings.host.value()))
            message.completed.push_back(request.value());
    }
    if (!message.completed.empty() && context.broadcast)
        context.broadcast(message);
}

std::set<admission::request_fingerprint>
sound_prompt_parts(const entry_context& context)
{
    fingerprints sound;
    for (const std::string& id :
         context.completed_prompts.part_ids(core::monotonic_now()))
        sound.insert(admission::fingerprint_of_prompt_part(id));
    for (const routed_call* call : context.streams.sustained_calls()) {
        auto parts = prompt_part_fingerprints(context, *call);
        sound.insert(
            std::make_move_iterator(parts.begin()),
            std::make_move_iterator(parts.end()));
    }
    return sound;
}

bool clear_crashes(
    entry_context& context,
    const admission::request_fingerprint& request,
    std::string_view source)
{
    const bool may_be_stored = context.quarantine.crash_count(request) >=
                               admission::request_quarantine::crash_limit;
    if (!context.quarantine.remove(request, core::monotonic_now()))
        return false;
    log_crash_count(source, request, 0, false);
    if (may_be_stored && context.on_quarantine_lifted)
        context.on_quarantine_lifted(request);
    return true;
}

} // namespace godwit::entry
