#pragma once

#include <godwit/admission/crash_report.hpp>
#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace godwit::admission {

/// Tracks the requests that crash the backend servers that run them.
///
/// A server crash ends every run on that server and is counted for each of
/// their requests. A request is quarantined after `crash_limit` crashes with no
/// completed run in between. Requests that merely shared a server with a
/// crashing one are cleared by their next completed run. Crashes of different
/// servers, reported by different hosts, count together.
class request_quarantine
{
public:
    static constexpr std::size_t crash_limit = 3;
    /// Duration of the first quarantine. Each crash beyond `crash_limit`
    /// multiplies the duration by four, up to `longest_quarantine`.
    static constexpr core::duration first_quarantine = std::chrono::minutes(30);
    static constexpr core::duration longest_quarantine = std::chrono::hours(24);
    /// How long crashes are kept for a request below `crash_limit`.
    static constexpr core::duration crash_retention = std::chrono::minutes(10);
    static constexpr std::size_t max_requests = 1024;
    static constexpr std::size_t max_requests_per_organisation = 256;
    static constexpr std::size_t max_crashes_per_request = 8;

    /// Adds the crashes of `report`. Returns whether any of them was recorded:
    /// false if all are known already or a limit is reached.
    bool add(const crash_report& report, core::time_point now);

    /// Clears the crashes of a request after a completed run. Returns false if
    /// there were none.
    bool remove(const request_fingerprint& request);

    [[nodiscard]] bool is_quarantined(
        const request_fingerprint& request, core::time_point now) const;

    /// Returns the crashes recorded for the request, or null if there are none.
    [[nodiscard]] const crash_report*
    find(const request_fingerprint& request) const;

    [[nodiscard]] std::size_t
    crash_count(const request_fingerprint& request) const;

    /// Whether no crashes are recorded; callers then skip the fingerprint.
    [[nodiscard]] bool empty() const noexcept { return reports_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return reports_.size(); }

    [[nodiscard]] std::size_t quarantined_count(core::time_point now) const;

    /// All recorded crashes, to send to a newly linked host.
    [[nodiscard]] std::vector<crash_report> reports() const;

    /// Removes entries past their retention period.
    void expire(core::time_point now);

private:
    [[nodiscard]] static core::duration
    quarantine_duration(const crash_report& report);
    [[nodiscard]] static bool
    is_quarantined(const crash_report& report, core::time_point now);
    [[nodiscard]] bool
    make_room(const crash_report& report, core::time_point now);

    std::map<request_fingerprint, crash_report> reports_;
};

} // namespace godwit::admission
