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

bool request_quarantine::is_quarantined(const crash_report& report)
{
    return report.crashes.size() >= crash_limit;
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
                        crash_report{report.request, report.organisation, {}})
                    .first;
    }
    bool is_changed = false;
    for (const server_crash& crash : counted)
        is_changed = record(found->second, crash) || is_changed;
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

// Evicts the entry with the oldest last crash, among those of the organisation
// if its own limit is reached. Quarantined requests are never evicted, so that
// a caller cannot lift a quarantine by crashing servers with other requests.
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
    auto oldest = reports_.end();
    for (auto entry = reports_.begin(); entry != reports_.end(); ++entry) {
        if ((is_organisation_full && !is_same_organisation(*entry)) ||
            is_quarantined(entry->second))
            continue;
        if (oldest == reports_.end() ||
            entry->second.last_crash() < oldest->second.last_crash())
            oldest = entry;
    }
    if (oldest == reports_.end())
        return false;
    reports_.erase(oldest);
    return true;
}

bool request_quarantine::remove(
    const request_fingerprint& request, core::time_point now)
{
    if (completed_at_.size() >= max_requests)
        completed_at_.clear();
    completed_at_[request] = now;
    trial_started_at_.erase(request);
    return reports_.erase(request) > 0;
}

bool request_quarantine::is_quarantined(
    const request_fingerprint& request) const
{
    const crash_report* report = find(request);
    return report != nullptr && is_quarantined(*report);
}

bool request_quarantine::start_trial(
    const request_fingerprint& request,
    std::size_t host_rank,
    core::time_point now)
{
    const crash_report* report = find(request);
    if (report == nullptr || !is_quarantined(*report))
        return false;
    const core::time_point due = report->last_crash() +
                                 quarantine_duration(*report) +
                                 trial_interval * host_rank;
    const auto started = trial_started_at_.find(request);
    const bool is_running = started != trial_started_at_.end() &&
                            now < started->second + trial_interval;
    if (now < due || is_running)
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

std::size_t request_quarantine::quarantined_count() const
{
    return static_cast<std::size_t>(
        std::count_if(reports_.begin(), reports_.end(), [](const auto& each) {
            return is_quarantined(each.second);
        }));
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
    std::erase_if(reports_, [now](const auto& each) {
        const crash_report& report = each.second;
        return now >= report.last_crash() + (is_quarantined(report)
                                                 ? quarantine_retention
                                                 : crash_retention);
    });
    std::erase_if(completed_at_, [now](const auto& each) {
        return now >= each.second + crash_retention;
    });
    std::erase_if(trial_started_at_, [this](const auto& each) {
        return !reports_.contains(each.first);
    });
}

} // namespace godwit::admission
