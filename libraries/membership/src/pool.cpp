#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>
#include <utility>

namespace godwit::membership {

core::result<pool> pool::create(pool_settings settings, std::uint64_t seed)
{
    const auto zero = core::duration::zero();
    const bool spans_hold = settings.ejection_base > zero &&
                            settings.ejection_limit >= settings.ejection_base &&
                            settings.probe_interval > zero &&
                            settings.leaving_hold > zero &&
                            settings.forget_after > zero;
    if (!spans_hold) {
        return core::fail(
            core::error_kind::invalid_input,
            "a time limit of membership is not above zero",
            "set every time limit to at least a microsecond, and the "
            "ejection limit to its base or more");
    }
    const bool counts_hold = settings.failure_limit > 0 &&
                             settings.subset_limit > 0 &&
                             settings.server_limit > 0;
    if (!counts_hold) {
        return core::fail(
            core::error_kind::invalid_input,
            "a count of membership is zero",
            "set the failure, subset and server limits to 1 or more");
    }
    return pool(std::move(settings), seed);
}

pool::pool(pool_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed),
      snapshot_(
          std::make_shared<const pool_snapshot>(0, std::vector<service_pool>()))
{}

std::vector<action> pool::handle(const event& what, core::time_point now)
{
    now_ = now;
    std::visit([this](const auto& one) { on(one); }, what);
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
    // The last view stays; what is seen of the servers goes on to correct it.
}

void pool::on(const requirements_changed& what)
{
    requirements_.clear();
    for (const auto& one : what.services)
        requirements_[one.service] = one;
    changed_ = true;
}

void pool::on(const load_reported& what)
{
    const auto found = members_.find(what.server);
    if (found == members_.end())
        return;
    auto& known = found->second;
    const bool news = !known.report || known.report->models != what.models ||
                      known.report->adapters != what.adapters ||
                      known.report->version != what.version;
    known.report = what;
    changed_ = changed_ || news;
    if (what.state == listed_state::leaving)
        begin_leaving(what.server, known, "its load report says so");
    else
        on_success(what.server, known);
}

void pool::on(const server_observed& what)
{
    const auto found = members_.find(what.server);
    if (found == members_.end())
        return;
    auto& known = found->second;
    switch (what.kind) {
    case health_observation::answered:
    case health_observation::probe_passed:
        on_success(what.server, known);
        return;
    case health_observation::leaving:
        begin_leaving(what.server, known, "it answered so");
        return;
    case health_observation::refused:
    case health_observation::timed_out:
    case health_observation::failed:
    case health_observation::probe_failed:
        on_failure(what.server, known, what.kind);
        return;
    }
}

void pool::on(const notice_received& what)
{
    auto found = members_.find(what.server);
    if (found == members_.end()) {
        // A peer's sign can come before the first host list does.
        const bool fits = members_.size() < settings_.server_limit;
        if (what.kind != server_notice::leaving || !fits)
            return;
        found = members_.emplace(what.server, member()).first;
        found->second.listed_at = now_;
    }
    auto& known = found->second;
    if (what.kind == server_notice::leaving) {
        begin_leaving(what.server, known, "a peer said so");
        return;
    }
    // Another host's trouble may be its own link's: look before judging.
    if (known.state == server_state::live ||
        known.state == server_state::suspect)
        probe(what.server, known);
}

// The host list may be late, so a new process must learn from its peers who
// is leaving.
void pool::on(const peer_connected&)
{
    for (const auto& [server, known] : members_) {
        if (known.state == server_state::leaving)
            emit(forward_notice{server, server_notice::leaving});
    }
}

void pool::on(const clock_ticked&)
{
    for (auto one = members_.begin(); one != members_.end();) {
        auto& [server, known] = *one;
        const bool forgotten = (known.state == server_state::leaving ||
                                known.state == server_state::gone) &&
                               !known.listed_live &&
                               now_ - known.listed_at >= settings_.forget_after;
        if (forgotten) {
            one = members_.erase(one);
            continue;
        }
        if (needs_probe(known) && now_ >= known.probe_due)
            probe(server, known);
        ++one;
    }
}

bool pool::needs_probe(const member& known) const
{
    switch (known.state) {
    case server_state::live:
        return false;
    case server_state::suspect:
        return true;
    case server_state::ejected:
        return now_ >= known.ejected_until;
    case server_state::leaving:
    case server_state::gone:
        // Listed again after the hold: a new host may have the address.
        return known.listed_live &&
               now_ - known.leaving_since >= settings_.leaving_hold;
    }
    return false;
}

void pool::probe(const core::server_address& server, member& known)
{
    known.probe_due = now_ + settings_.probe_interval;
    emit(probe_server{server});
}

void pool::move_to(
    const core::server_address& server,
    member& known,
    server_state to,
    std::string_view why)
{
    if (known.state == to)
        return;
    emit(state_changed{server, known.state, to, std::string(why)});
    known.state = to;
    changed_ = true;
}

} // namespace godwit::membership
