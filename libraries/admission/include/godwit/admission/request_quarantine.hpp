#pragma once

#include <godwit/admission/crash_report.hpp>
#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace godwit::admission {

/// Tracks the requests, and the parts of prompts, that crash the backend
/// servers that run them. A run is one execution of a request on a backend
/// server.
///
/// A server crash ends every run on that server and is counted for each of
/// their requests and for each part of their prompts. A request is quarantined
/// after `crash_limit` crashes with no completed run in between. So is a part,
/// unless other quarantined requests or parts explain its crashes. Requests and
/// parts that merely shared a server with a crashing one are cleared by their
/// next completed run. Crashes of different servers count together, also if
/// different hosts reported them.
///
/// When a quarantine period ends, single runs of the request are permitted as
/// trials, so that a request that was quarantined by mistake can be cleared.
class request_quarantine
{
public:
    static constexpr std::size_t crash_limit = 3;
    /// Duration of the first quarantine period, followed by the durations after
    /// each failed trial. The last one applies to all further trials.
    static constexpr std::array<core::duration, 4> quarantine_durations{
        std::chrono::seconds(10),
        std::chrono::minutes(10),
        std::chrono::hours(2),
        std::chrono::hours(24)};
    /// How long crashes are kept for a request below `crash_limit`.
    static constexpr core::duration crash_retention = std::chrono::minutes(10);
    /// How long crashes are kept for a quarantined request.
    static constexpr core::duration quarantine_retention =
        std::chrono::hours(48);
    /// Crashes within this time after a completed run are ignored, because a
    /// request that completes on one server does not crash every server.
    static constexpr core::duration completed_run_validity =
        std::chrono::seconds(5);
    /// Minimum time between trials of a request on one host, and the delay of
    /// the first trial on a host, multiplied by the host's rank: its zero-based
    /// position among all hosts, in an order that the request determines by
    /// rendezvous hashing. A host can thus receive the result of an earlier
    /// trial on another host before it starts its own.
    static constexpr core::duration trial_interval = std::chrono::seconds(30);
    static constexpr std::size_t max_requests = 1024;
    static constexpr std::size_t max_requests_per_organisation = 256;
    static constexpr std::size_t max_crashes_per_request = 8;

    /// Adds the crashes of `report`. Returns whether any of them was recorded:
    /// false if all are known already or a limit is reached.
    bool add(const crash_report& report);

    /// Clears the crashes of a request after a run that completed at `now`.
    /// Earlier crashes are ignored even if they are reported later. Returns
    /// false if no crashes were recorded.
    bool remove(const request_fingerprint& request, core::time_point now);

    /// Whether the request, or requests with the part, may run only as a trial.
    [[nodiscard]] bool is_quarantined(const request_fingerprint& request) const
    {
        return quarantined_.contains(request);
    }

    /// Returns whether the host with this zero-based rank may run the
    /// quarantined request as a trial.
    [[nodiscard]] bool is_trial_due(
        const request_fingerprint& request,
        std::size_t host_rank,
        core::time_point now) const;

    /// Returns whether a trial is due. If so, this host starts no further trial
    /// of the request until `trial_interval` has passed.
    [[nodiscard]] bool start_trial(
        const request_fingerprint& request,
        std::size_t host_rank,
        core::time_point now);

    /// Whether crashes or a completed run of the request are recorded.
    [[nodiscard]] bool is_known(const request_fingerprint& request) const;

    /// Returns the crashes recorded for the request, or null if there are none.
    [[nodiscard]] const crash_report*
    find(const request_fingerprint& request) const;

    [[nodiscard]] std::size_t
    crash_count(const request_fingerprint& request) const;

    /// Whether crashes or completed runs are recorded. If not, callers need not
    /// compute the fingerprint of a completed run.
    [[nodiscard]] bool is_tracking() const noexcept
    {
        return !reports_.empty() || !completed_at_.empty();
    }

    /// Whether no crashes are recorded; callers then skip the fingerprint.
    [[nodiscard]] bool empty() const noexcept { return reports_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return reports_.size(); }

    [[nodiscard]] std::size_t quarantined_count() const noexcept
    {
        return quarantined_.size();
    }

    /// All recorded crashes, to send to a newly linked host.
    [[nodiscard]] std::vector<crash_report> reports() const;

    /// Removes entries past their retention period.
    void expire(core::time_point now);

private:
    [[nodiscard]] static core::duration
    quarantine_duration(const crash_report& report);
    static bool record(crash_report& known, const server_crash& crash);
    [[nodiscard]] bool is_cleared(
        const request_fingerprint& request, const server_crash& crash) const;
    [[nodiscard]] bool make_room(const crash_report& report);
    void update_quarantined();

    std::map<request_fingerprint, crash_report> reports_;
    /// Time of the last completed run of each request that had crashes.
    std::map<request_fingerprint, core::time_point> completed_at_;
    std::map<request_fingerprint, core::time_point> trial_started_at_;
    /// Derived from `reports_` alone, so that all hosts agree.
    std::set<request_fingerprint> quarantined_;
};

} // namespace godwit::admission
