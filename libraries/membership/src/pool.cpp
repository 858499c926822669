#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>
#include <utility>

namespace godwit::membership {

core::result<pool> pool::create(pool_settings settings, std::uint64_t seed)
{
    const auto zero = core::duration::zero();
    const bool durations_valid =
        settings.ejection_base > zero &&
        settings.ejection_limit >= settings.ejection_base &&
        settings.probe_interval > zero && settings.leaving_hold > zero &&
        settings.forget_after > zero;
    if (!durations_valid) {
        return core::fail(
            core::error_kind::invalid_input,
            "a duration in the membership settings is out of range",
            "set every duration to at least a microsecond, and the "
            "ejection limit to at least the ejection base");
    }
    const bool counts_valid = settings.failure_limit > 0 &&
                              settings.subset_limit > 0 &&
                              settings.server_limit > 0;
    if (!counts_valid) {
        return core::fail(
            core::error_kind::invalid_input,
            "a count in the membership settings is zero",
            "set the failure, subset and server limits to 1 or more");
    }
    return pool(std::move(settings), seed);
}

pool::pool(pool_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed),
      snapshot_(
          std::make_shared<const pool_snapshot>(0, std::vector<service_pool>()))
{}

std::vector<action> pool::handle(const event& input, core::time_point now)
{
    now_ = now;
    std::visit([this](const auto& one) { on(one); }, input);
    if (std::exchange(changed_, false))
        refresh_snapshot();
    return std::exchange(actions_, {});
}

server_state pool::state_of(const core::server_address& server) const
{
    const auto found = members_.find(server);
    return found == members_.end() ? server_state::gone : found->second.state;
}

void pool::on(const host_list_failed&)
{
    // The previous list stays in use; observations continue to update the
    // servers' states.
}

void pool::on(const requirements_changed& changed)
{
    requirements_.clear();
    for (const auto& requirement : changed.services)
        requirements_[requirement.service] = requirement;
    changed_ = true;
}

void pool::on(const load_reported& report)
{
    const auto found = members_.find(report.server);
    if (found == members_.end())
        return;
    auto& entry = found->second;
    const bool changed = !entry.report ||
                         entry.report->models != report.models ||
                         entry.report->adapters != report.adapters ||
                         entry.report->version != report.version;
    entry.report = report;
    changed_ = changed_ || changed;
    if (report.state == listed_state::leaving)
        begin_leaving(report.server, entry, "load report: leaving");
    else
        on_success(report.server, entry);
}

void pool::on(const server_observed& observed)
{
    const auto found = members_.find(observed.server);
    if (found == members_.end())
        return;
    auto& entry = found->second;
    switch (observed.kind) {
    case health_observation::answered:
    case health_observation::probe_passed:
        on_success(observed.server, entry);
        return;
    case health_observation::leaving:
        begin_leaving(observed.server, entry, "response: leaving");
        return;
    case health_observation::refused:
    case health_observation::timed_out:
    case health_observation::failed:
    case health_observation::probe_failed:
        on_failure(observed.server, entry, observed.kind);
        return;
    }
}

void pool::on(const notice_received& notice)
{
    auto found = members_.find(notice.server);
    if (found == members_.end()) {
        // A peer's notice can arrive before the first host list.
        const bool has_capacity = members_.size() < settings_.server_limit;
        if (notice.kind != server_notice::leaving || !has_capacity)
            return;
        found = members_.emplace(notice.server, member()).first;
        found->second.listed_at = now_;
    }
    auto& entry = found->second;
    if (notice.kind == server_notice::leaving) {
        begin_leaving(notice.server, entry, "notice from a peer: leaving");
        return;
    }
    // The peer's own network may be at fault, so this host probes the server
    // itself.
    if (entry.state == server_state::live ||
        entry.state == server_state::suspect)
        probe(notice.server, entry);
}

// The host list may be delayed, so a new process learns from its peers which
// servers are leaving.
void pool::on(const peer_connected&)
{
    for (const auto& [server, entry] : members_) {
        if (entry.state == server_state::leaving)
            emit(forward_notice{server, server_notice::leaving});
    }
}

void pool::on(const clock_ticked&)
{
    for (auto found = members_.begin(); found != members_.end();) {
        auto& [server, entry] = *found;
        const bool expired = (entry.state == server_state::leaving ||
                              entry.state == server_state::gone) &&
                             !entry.listed_live &&
                             now_ - entry.listed_at >= settings_.forget_after;
        if (expired) {
            found = members_.erase(found);
            continue;
        }
        if (needs_probe(entry) && now_ >= entry.probe_due)
            probe(server, entry);
        ++found;
    }
}

bool pool::needs_probe(const member& entry) const
{
    switch (entry.state) {
    case server_state::live:
        return false;
    case server_state::suspect:
        return true;
    case server_state::ejected:
        return now_ >= entry.ejected_until;
    case server_state::leaving:
    case server_state::gone:
        // If it is listed again after the hold time, a new host may have the
        // address.
        return entry.listed_live &&
               now_ - entry.leaving_since >= settings_.leaving_hold;
    }
    return false;
}

void pool::probe(const core::server_address& server, member& entry)
{
    entry.probe_due = now_ + settings_.probe_interval;
    emit(probe_server{server});
}

void pool::set_state(
    const core::server_address& server,
    member& entry,
    server_state to,
    std::string_view reason)
{
    if (entry.state == to)
        return;
    emit(state_changed{server, entry.state, to, std::string(reason)});
    entry.state = to;
    changed_ = true;
}

} // namespace godwit::membership
