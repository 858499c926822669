#include <godwit/entry/entry_process.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/crash_report_conversion.hpp>
#include <godwit/entry/lost_runs.hpp>

#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <cstdint>

// Exchange of crash reports between entry hosts.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";

// Returns whether the request is known to have completed and no crash after its
// completion is known.
bool is_cleared(
    const admission::request_quarantine& quarantine,
    const admission::request_fingerprint& request)
{
    return quarantine.is_known(request) && quarantine.crash_count(request) == 0;
}

} // namespace

wire::crash_reports entry_process::crash_reports_message() const
{
    const core::time_point now = core::monotonic_now();
    wire::crash_reports message;
    for (const admission::crash_report& report : context_.quarantine.reports())
        message.reports.push_back(to_wire(report, now));
    return message;
}

void entry_process::add_crash_report(
    const admission::crash_report& report, std::string_view source)
{
    if (!context_.quarantine.add(report))
        return;
    context_.quarantine.expire(core::monotonic_now());
    log_crash_count(
        source,
        report.request,
        context_.quarantine.crash_count(report.request),
        context_.quarantine.is_quarantined(report.request));
}

void entry_process::clear_crashes(
    const admission::request_fingerprint& request, std::string_view source)
{
    entry::clear_crashes(context_, request, source);
}

std::size_t entry_process::host_rank(std::string_view key) const
{
    const std::uint64_t own =
        core::rendezvous_weight(key, context_.settings.host.value());
    return static_cast<std::size_t>(std::count_if(
        fleet_hosts_.begin(),
        fleet_hosts_.end(),
        [&key, own](const auto& host) {
            return core::rendezvous_weight(key, host.value()) > own;
        }));
}

// Forwards changes, so that they reach hosts to which their origin has no link.
void entry_process::handle_crash_reports(
    const core::host_name& host, const wire::crash_reports& message)
{
    const core::time_point now = core::monotonic_now();
    wire::crash_reports changes;
    // The requests that completed although the neighbour reports crashes of
    // them, because it does not know of their completion yet.
    wire::crash_reports corrections;
    for (const wire::crash_report& received : message.reports) {
        const auto report = to_crash_report(received, now);
        if (!report) {
            reject_crash_reports(host, report.error());
            return;
        }
        if (!context_.quarantine.add(*report)) {
            if (is_cleared(context_.quarantine, report->request))
                corrections.completed.push_back(received.request);
            continue;
        }
        changes.reports.push_back(received);
        log_crash_count(
            host.value(),
            report->request,
            context_.quarantine.crash_count(report->request),
            context_.quarantine.is_quarantined(report->request));
    }
    for (const std::string& completed : message.completed) {
        const auto request = to_fingerprint(completed);
        if (!request) {
            reject_crash_reports(host, request.error());
            return;
        }
        if (entry::clear_crashes(context_, *request, host.value()))
            changes.completed.push_back(completed);
    }
    clear_sound_parts(changes);
    if (!changes.reports.empty() || !changes.completed.empty())
        neighbours_->broadcast(changes);
    const auto link = neighbours_->link_to(host);
    if (link && !corrections.completed.empty())
        link->send(corrections);
}

// Other hosts may report crashes under parts of prompts that run on this host
// without crashing servers.
void entry_process::clear_sound_parts(wire::crash_reports& changes)
{
    const bool has_parts = std::any_of(
        changes.reports.begin(), changes.reports.end(), [](const auto& each) {
            return each.is_prompt_part();
        });
    if (!has_parts)
        return;
    const auto sound = sound_prompt_parts(context_);
    for (const wire::crash_report& report : changes.reports) {
        const admission::request_fingerprint request(report.request);
        if (report.is_prompt_part() && sound.contains(request) &&
            entry::clear_crashes(
                context_, request, context_.settings.host.value()))
            changes.completed.push_back(report.request);
    }
}

// Counts every rejected message, but logs only the first one from each host.
void entry_process::reject_crash_reports(
    const core::host_name& host, const core::error& why)
{
    context_.metrics
        ->counter(
            "godwit_refused_crash_reports_total",
            "Messages of neighbours about crashes that cannot be read.")
        .Increment();
    if (malformed_crash_reports_from_.insert(host).second)
        log_event(
            log_level::warning,
            component,
            "crash_report_refused",
            {{"neighbour", host}, {"cause", why.message()}});
}

} // namespace godwit::entry
