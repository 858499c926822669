#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace godwit::wire {

/// A backend server process that ended while it ran a request.
struct server_crash
{
    std::string server;
    std::uint64_t started_at_ms = 0; ///< 0 if unknown.
    std::uint32_t age_ms = 0;        ///< Time since the run failed.

    friend bool operator==(const server_crash&, const server_crash&) = default;
};

/// The server crashes that ended runs of one request, or of requests whose
/// prompts share one part.
struct crash_report
{
    /// The value of `prompt_position` if the report is about a whole request.
    static constexpr std::uint32_t whole_request =
        std::numeric_limits<std::uint32_t>::max();

    std::string request; ///< Fingerprint of the request or the part.
    core::organisation_name organisation;
    std::vector<server_crash> crashes;
    /// Zero-based position of the part in its prompt.
    std::uint32_t prompt_position = whole_request;

    [[nodiscard]] bool is_prompt_part() const noexcept
    {
        return prompt_position != whole_request;
    }

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// Changes to the crashes that are recorded per request or part of prompts.
struct crash_reports
{
    std::vector<crash_report> reports;
    /// Fingerprints of requests and parts with a completed run, whose earlier
    /// crashes no longer count.
    std::vector<std::string> completed;

    friend bool
    operator==(const crash_reports&, const crash_reports&) = default;
};

} // namespace godwit::wire
