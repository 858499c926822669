#include "agent_gauges.hpp"

namespace godwit::agent {

agent_gauges agent_gauges::create(telemetry::metrics& metrics)
{
    return {
        .ready = metrics.gauge(
            "godwit_agent_ready", "1 when the agent has a catalogue"),
        .next_offset = metrics.gauge(
            "godwit_agent_catalogue_next_offset",
            "Every record of the log below it is folded"),
        .in_force = metrics.gauge(
            "godwit_agent_catalogue_in_force",
            "The least offset in force at this host's proxies"),
        .age_seconds = metrics.gauge(
            "godwit_agent_catalogue_age_seconds",
            "Since the log last confirmed the catalogue; -1 for never"),
        .alarms = metrics.gauge(
            "godwit_agent_catalogue_alarms", "Alarms that are raised"),
        .log_available = metrics.gauge(
            "godwit_agent_log_available", "1 while the log answers reads"),
        .peers = metrics.gauge(
            "godwit_agent_peers", "Peer agents with an open link"),
        .proxies =
            metrics.gauge("godwit_agent_proxies", "Proxies with an open link"),
        .appends = metrics.gauge(
            "godwit_agent_log_appends", "Appends sent to the log"),
        .appends_refused = metrics.gauge(
            "godwit_agent_log_appends_refused", "Appends that were not done"),
        .appends_unknown = metrics.gauge(
            "godwit_agent_log_appends_unknown",
            "Appends whose effect was unknown"),
        .reads_failed = metrics.gauge(
            "godwit_agent_log_reads_failed", "Reads that the log failed"),
        .claims_ready = metrics.gauge(
            "godwit_agent_claims_ready",
            "1 while the claims stream is read to its end"),
        .claims_remembered = metrics.gauge(
            "godwit_agent_claims_remembered", "Keys in the ledger"),
        .claims_asked = metrics.gauge(
            "godwit_agent_claims_asked", "Questions of this host's proxies"),
        .claims_won = metrics.gauge(
            "godwit_agent_claims_won", "Questions answered with won"),
        .claims_unavailable = metrics.gauge(
            "godwit_agent_claims_unavailable",
            "Questions that could not be settled"),
        .pauses = metrics.counter(
            "godwit_agent_pauses_total", "Times that the process stood still"),
        .bad_links = metrics.counter(
            "godwit_agent_bad_links_total",
            "Links closed for what the other end sent")};
}

} // namespace godwit::agent
