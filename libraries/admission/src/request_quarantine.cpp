#include <godwit/admission/request_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace godwit::admission {

namespace {

constexpr int quarantine_growth_factor = 4;

} // namespace

core::duration
request_quarantine::quarantine_duration(const crash_report& report)
{
    core::duration duration = first_quarantine;
    for (std::size_t count = crash_limit; count < report.crashes.size();
         ++count)
        duration =
            std::min(duration * quarantine_growth_factor, longest_quarantine);
    return duration;
}

bool request_quarantine::is_quarantined(
    const crash_report& report, core::time_point now)
{
    return report.crashes.size() >= crash_limit &&
           now < report.last_crash + quarantine_duration(report);
}

bool request_quarantine::add(const crash_report& report, core::time_point now)
{
    const auto found = reports_.find(report.request);
    if (found == reports_.end()) {
        if (report.crashes.empty() || !make_room(report, now))
            return false;
        crash_report added = report;
        std::sort(added.crashes.begin(), added.crashes.end());
        added.crashes.erase(
            std::unique(added.crashes.begin(), added.crashes.end()),
            added.crashes.end());
        if (added.crashes.size() > max_crashes_per_request)
            added.crashes.resize(max_crashes_per_request);
        reports_.emplace(added.request, std::move(added));
        return true;
    }
    crash_report& known = found->second;
    bool is_changed = false;
    for (const server_crash& crash : report.crashes) {
        const auto position =
            std::lower_bound(known.crashes.begin(), known.crashes.end(), crash);
        if (position != known.crashes.end() && *position == crash)
            continue;
        // A crash that is not recorded for lack of space still extends the
        // quarantine.
        known.last_crash = std::max(known.last_crash, report.last_crash);
        if (known.crashes.size() >= max_crashes_per_request)
            continue;
        known.crashes.insert(position, crash);
        is_changed = true;
    }
    return is_changed;
}

// Evicts the entry with the oldest last crash, among those of the organisation
// if its own limit is reached. Quarantined requests are never evicted, so that
// a caller cannot lift a quarantine by crashing servers with other requests.
bool request_quarantine::make_room(
    const crash_report& report, core::time_point now)
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
            is_quarantined(entry->second, now))
            continue;
        if (oldest == reports_.end() ||
            entry->second.last_crash < oldest->second.last_crash)
            oldest = entry;
    }
    if (oldest == reports_.end())
        return false;
    reports_.erase(oldest);
    return true;
}

bool request_quarantine::remove(const request_fingerprint& request)
{
    return reports_.erase(request) > 0;
}

bool request_quarantine::is_quarantined(
    const request_fingerprint& request, core::time_point now) const
{
    const crash_report* report = find(request);
    return report != nullptr && is_quarantined(*report, now);
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

std::size_t request_quarantine::quarantined_count(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        reports_.begin(), reports_.end(), [now](const auto& each) {
            return is_quarantined(each.second, now);
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

// An expired quarantine is kept for as long again, so that a single crash
// within that time renews it.
void request_quarantine::expire(core::time_point now)
{
    std::erase_if(reports_, [now](const auto& each) {
        const crash_report& report = each.second;
        const core::duration retention = report.crashes.size() < crash_limit
                                             ? crash_retention
                                             : 2 * quarantine_duration(report);
        return now >= report.last_crash + retention;
    });
}

} // namespace godwit::admission
