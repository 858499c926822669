#include <godwit/rollout/rollouts.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <limits>

namespace godwit::rollout {

namespace {

// Returns a number in [0, 1) that is the same for a request on every host.
double position_of(std::string_view request_id, const order_revision& revision)
{
    constexpr auto max_hash =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(core::stable_hash(
               request_id, revision.epoch ^ (revision.sequence << 16U))) /
           max_hash;
}

} // namespace

void rollouts::reject(
    service_rollouts& target, const placement::server_version& version)
{
    std::erase(target.rejected, version);
    target.rejected.push_back(version);
    if (target.rejected.size() > max_rejected)
        target.rejected.erase(target.rejected.begin());
}

void rollouts::begin(service_rollouts& target, const rollout_status& reported)
{
    const rollout_status before = target.newest;
    const bool replaces_unfinished =
        !before.order.target.empty() &&
        before.state != rollout_state::completed &&
        before.order.target != reported.order.target;
    if (replaces_unfinished)
        reject(target, before.order.target);
    std::erase(target.rejected, reported.order.target);
    target.newest = reported;
    target.completed_at.reset();
    target.counts = fleet_counts();
    target.judge.emplace(hosts_);
    apply_state(target, reported.state);
    target.newest.is_recorded = reported.is_recorded;
}

void rollouts::apply_state(service_rollouts& target, rollout_state state)
{
    target.newest.state = state;
    target.newest.is_recorded = false;
    if (state == rollout_state::running)
        return;
    target.judge.reset();
    target.counts = fleet_counts();
    if (state == rollout_state::rolled_back)
        reject(target, target.newest.order.target);
    else
        target.rejected.clear();
}

// Whether an order of a later epoch is one that this host knows already.
bool rollouts::is_repeated(
    const rollout_order& known, const rollout_order& reported)
{
    return reported.revision.epoch > known.revision.epoch &&
           reported.target == known.target &&
           reported.duration == known.duration;
}

bool rollouts::update(const rollout_status& reported)
{
    const core::service_name& service = reported.order.service;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        if (services_.size() >= max_services)
            return false;
        begin(services_[service], reported);
        return true;
    }
    service_rollouts& known = found->second;
    if (is_repeated(known.newest.order, reported.order)) {
        known.newest.order.revision = reported.order.revision;
        // The restored source may lack the recorded state.
        known.newest.is_recorded = false;
        merge(known, reported);
        return true;
    }
    const order_revision& revision = known.newest.order.revision;
    if (reported.order.revision < revision)
        return false;
    if (reported.order.revision == revision)
        return merge(known, reported);
    begin(known, reported);
    return true;
}

bool rollouts::merge(service_rollouts& known, const rollout_status& reported)
{
    // The host that learned of the order first is closest to its time.
    known.newest.ordered_at =
        std::min(known.newest.ordered_at, reported.ordered_at);
    const bool has_ended = known.newest.state != rollout_state::running;
    const bool is_same_state = known.newest.state == reported.state;
    if (has_ended && known.newest.is_recorded)
        return false;
    // Until an end is recorded, hosts may disagree about it.
    const bool may_change = reported.is_recorded || !has_ended;
    if (is_same_state) {
        const bool is_news = reported.is_recorded && !known.newest.is_recorded;
        known.newest.is_recorded =
            known.newest.is_recorded || reported.is_recorded;
        return is_news;
    }
    if (!may_change || reported.state == rollout_state::running)
        return false;
    apply_state(known, reported.state);
    known.newest.is_recorded = reported.is_recorded;
    return true;
}

bool rollouts::withdraw(
    const core::service_name& service, const order_revision& revision)
{
    const auto found = services_.find(service);
    if (found == services_.end() ||
        revision < found->second.newest.order.revision ||
        found->second.newest.state != rollout_state::running)
        return false;
    apply_state(found->second, rollout_state::rolled_back);
    return true;
}

void rollouts::record_completion(
    const core::service_name& service, core::time_point now)
{
    const auto found = services_.find(service);
    const bool is_news = found != services_.end() &&
                         !found->second.completed_at &&
                         found->second.newest.state == rollout_state::completed;
    if (is_news)
        found->second.completed_at = now;
}

const rollout_status* rollouts::find(const core::service_name& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.newest;
}

bool rollouts::is_running(const core::service_name& service) const
{
    const rollout_status* known = find(service);
    return known != nullptr && known->state == rollout_state::running;
}

bool rollouts::is_final(
    const core::service_name& service, core::time_point now) const
{
    const rollout_status* known = find(service);
    return known != nullptr && known->state == rollout_state::running &&
           exposure_plan(known->order.duration, max_exposure_)
               .is_final(now - known->ordered_at);
}

placement::version_filter rollouts::versions_for(
    const core::service_name& service,
    std::string_view request_id,
    bool is_informed,
    core::time_point now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return {};
    const rollout_status* known = &found->second.newest;
    const auto& completed_at = found->second.completed_at;
    if (completed_at && now - *completed_at < former_stop_time)
        return {known->order.target, {}};
    if (known->state != rollout_state::running)
        return former_versions(service);
    const exposure_plan plan(known->order.duration, max_exposure_);
    const double share =
        is_informed ? plan.share_at(now - known->ordered_at) : 0.0;
    if (position_of(request_id, known->order.revision) >= share)
        return former_versions(service);
    return {known->order.target, {}};
}

placement::version_filter
rollouts::former_versions(const core::service_name& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return {};
    const service_rollouts& known = found->second;
    placement::version_filter filter;
    filter.excluded = {known.rejected.begin(), known.rejected.end()};
    if (known.newest.state == rollout_state::running)
        filter.excluded.insert(known.newest.order.target);
    return filter;
}

void rollouts::record(
    const core::service_name& service,
    const stratum& where,
    const placement::server_version& version,
    const response_counts& one)
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.judge)
        return;
    const bool is_target = version == found->second.newest.order.target;
    found->second.counts.record(
        where, is_target ? version_side::target : version_side::former, one);
}

fleet_counts* rollouts::counts(
    const core::service_name& service, const order_revision& revision)
{
    const auto found = services_.find(service);
    const bool is_running = found != services_.end() && found->second.judge &&
                            found->second.newest.order.revision == revision;
    return is_running ? &found->second.counts : nullptr;
}

std::vector<rollback> rollouts::judge()
{
    std::vector<rollback> rolled_back;
    for (auto& [service, known] : services_) {
        if (!known.judge)
            continue;
        auto reason = known.judge->compare(known.counts.total());
        if (!reason)
            continue;
        apply_state(known, rollout_state::rolled_back);
        rolled_back.push_back({known.newest, std::move(*reason)});
    }
    return rolled_back;
}

std::vector<rollout_status> rollouts::running() const
{
    std::vector<rollout_status> found;
    for (const auto& [service, known] : services_) {
        if (known.newest.state == rollout_state::running)
            found.push_back(known.newest);
    }
    return found;
}

std::vector<rollout_status> rollouts::all() const
{
    std::vector<rollout_status> found;
    found.reserve(services_.size());
    for (const auto& [service, known] : services_)
        found.push_back(known.newest);
    return found;
}

} // namespace godwit::rollout
