#include <godwit/admission/request_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

core::duration
request_quarantine::quarantine_duration(const crash_report& report)
{
    std::vector<core::time_point> times;
    for (const server_crash& crash : report.crashes)
        times.push_back(crash.at);
    std::sort(times.begin(), times.end());
    // Runs that began before the quarantine may crash after it began; the first
    // trial is later.
    const core::time_point first_trial =
        times.at(crash_limit - 1) + quarantine_durations.front();
    const auto failed_trials = static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [first_trial](core::time_point at) {
            return at >= first_trial;
        }));
    return quarantine_durations.at(
        std::min(failed_trials, quarantine_durations.size() - 1));
}

// Every part of a prompt that crashes servers is under the same crashes, and so
// may be parts of requests beside it. The part under most crashes is taken for
// the cause, and of several the latest in its prompt, which affects the fewest
// requests. If it is not the cause, the cause will be under more crashes soon.
void request_quarantine::update_quarantined()
{
    std::vector<const crash_report*> suspects;
    for (const auto& [request, report] : reports_) {
        if (report.crashes.size() >= crash_limit)
            suspects.push_back(&report);
    }
    std::stable_sort(
        suspects.begin(),
        suspects.end(),
        [](const crash_report* left, const crash_report* right) {
            return std::make_pair(left->crashes.size(), left->prompt_position) >
                   std::make_pair(
                       right->crashes.size(), right->prompt_position);
        });
    quarantined_.clear();
    using server_process = std::pair<placement::server_id, std::uint64_t>;
    std::set<server_process> explained;
    for (const crash_report* suspect : suspects) {
        const auto unexplained = std::count_if(
            suspect->crashes.begin(),
            suspect->crashes.end(),
            [&explained](const server_crash& crash) {
                return !explained.contains({crash.server, crash.start.unix_ms});
            });
        if (suspect->is_prompt_part() &&
            static_cast<std::size_t>(unexplained) < crash_limit)
            continue;
        quarantined_.insert(suspect->request);
        for (const server_crash& crash : suspect->crashes)
            explained.emplace(crash.server, crash.start.unix_ms);
    }
}

bool request_quarantine::add(const crash_report& report)
{
    std::vector<server_crash> counted;
    for (const server_crash& crash : report.crashes) {
        if (!is_cleared(report.request, crash))
            counted.push_back(crash);
    }
    auto found = reports_.find(report.request);
    if (found == reports_.end()) {
        if (counted.empty() || !make_room(report))
            return false;
        found = reports_
                    .emplace(
                        report.request,
                        crash_report{
                            report.request,
                            report.organisation,
                            {},
                            report.prompt_position})
                    .first;
    }
    crash_report& known = found->second;
    // The same part may have different positions in different prompts.
    known.prompt_position =
        std::min(known.prompt_position, report.prompt_position);
    bool is_changed = false;
    for (const server_crash& crash : counted)
        is_changed = record(known, crash) || is_changed;
    if (is_changed)
        update_quarantined();
    return is_changed;
}

// When the list is full, a newer crash replaces the oldest one, so that it
// still extends the quarantine.
bool request_quarantine::record(crash_report& known, const server_crash& crash)
{
    std::vector<server_crash>& crashes = known.crashes;
    const bool is_known = std::any_of(
        crashes.begin(), crashes.end(), [&crash](const server_crash& each) {
            return each.is_same_crash(crash);
        });
    if (is_known)
        return false;
    if (crashes.size() < max_crashes_per_request) {
        crashes.push_back(crash);
        return true;
    }
    const auto oldest = std::min_element(
        crashes.begin(),
        crashes.end(),
        [](const server_crash& left, const server_crash& right) {
            return left.at < right.at;
        });
    if (crash.at <= oldest->at)
        return false;
    *oldest = crash;
    return true;
}

// Hosts that have not yet received the completed run may still report crashes
// that preceded it.
bool request_quarantine::is_cleared(
    const request_fingerprint& request, const server_crash& crash) const
{
    const auto found = completed_at_.find(request);
    return found != completed_at_.end() &&
           crash.at <= found->second + completed_run_validity;
}

// Evicts the entry with the fewest crashes, of several the one with the oldest
// last crash, among those of the organisation if its own limit is reached.
// Quarantined requests are never evicted, so that a caller cannot lift a
// quarantine by crashing servers with other requests.
bool request_quarantine::make_room(const crash_report& report)
{
    const auto is_same_organisation = [&report](const auto& each) {
        return each.second.organisation == report.organisation;
    };
    const bool is_organisation_full =
        static_cast<std::size_t>(std::count_if(
            reports_.begin(), reports_.end(), is_same_organisation)) >=
        max_requests_per_organisation;
    if (!is_organisation_full && reports_.size() < max_requests)
        return true;
    const auto evidence = [](const crash_report& each) {
        return std::make_pair(each.crashes.size(), each.last_crash());
    };
    auto weakest = reports_.end();
    for (auto entry = reports_.begin(); entry != reports_.end(); ++entry) {
        if ((is_organisation_full && !is_same_organisation(*entry)) ||
            is_quarantined(entry->first))
            continue;
        if (weakest == reports_.end() ||
            evidence(entry->second) < evidence(weakest->second))
            weakest = entry;
    }
    if (weakest == reports_.end())
        return false;
    reports_.erase(weakest);
    return true;
}

bool request_quarantine::remove(
    const request_fingerprint& request, core::time_point now)
{
    if (completed_at_.size() >= max_requests)
        completed_at_.clear();
    completed_at_[request] = now;
    trial_started_at_.erase(request);
    if (reports_.erase(request) == 0)
        return false;
    update_quarantined();
    return true;
}

bool request_quarantine::is_trial_due(
    const request_fingerprint& request,
    std::size_t host_rank,
    core::time_point now) const
{
    const crash_report* report = find(request);
    if (report == nullptr || !is_quarantined(request))
        return false;
    const core::time_point due = report->last_crash() +
                                 quarantine_duration(*report) +
                                 trial_interval * host_rank;
    const auto started = trial_started_at_.find(request);
    const bool is_running = started != trial_started_at_.end() &&
                            now < started->second + trial_interval;
    return now >= due && !is_running;
}

bool request_quarantine::start_trial(
    const request_fingerprint& request,
    std::size_t host_rank,
    core::time_point now)
{
    if (!is_trial_due(request, host_rank, now))
        return false;
    trial_started_at_[request] = now;
    return true;
}

bool request_quarantine::is_known(const request_fingerprint& request) const
{
    return reports_.contains(request) || completed_at_.contains(request);
}

const crash_report*
request_quarantine::find(const request_fingerprint& request) const
{
    const auto found = reports_.find(request);
    return found == reports_.end() ? nullptr : &found->second;
}

std::size_t
request_quarantine::crash_count(const request_fingerprint& request) const
{
    const crash_report* report = find(request);
    return report == nullptr ? 0 : report->crashes.size();
}

std::vector<crash_report> request_quarantine::reports() const
{
    std::vector<crash_report> all;
    all.reserve(reports_.size());
    for (const auto& [request, report] : reports_)
        all.push_back(report);
    return all;
}

void request_quarantine::expire(core::time_point now)
{
    const auto expired = std::erase_if(reports_, [this, now](const auto& each) {
        const core::duration retention =
            is_quarantined(each.first) ? quarantine_retention : crash_retention;
        return now >= each.second.last_crash() + retention;
    });
    if (expired > 0)
        update_quarantined();
    std::erase_if(completed_at_, [now](const auto& each) {
        return now >= each.second + crash_retention;
    });
    std::erase_if(trial_started_at_, [this](const auto& each) {
        return !reports_.contains(each.first);
    });
}

} // namespace godwit::admission
