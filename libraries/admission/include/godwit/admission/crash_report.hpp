#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace godwit::admission {

/// A backend server process, by its id and start, that ended while it ran a
/// request.
struct server_crash
{
    placement::server_id server;
    placement::server_start start;
    /// When the run, the execution of the request on this server, was lost.
    core::time_point at;

    /// Whether both refer to the same server process.
    [[nodiscard]] bool is_same_crash(const server_crash& other) const noexcept
    {
        return server == other.server && start == other.start;
    }

    friend bool operator==(const server_crash&, const server_crash&) = default;
};

/// The server crashes that ended runs of one request, or of requests whose
/// prompts share one part.
struct crash_report
{
    /// The value of `prompt_position` if the report is about a whole request.
    static constexpr std::uint32_t whole_request =
        std::numeric_limits<std::uint32_t>::max();

    request_fingerprint request;
    core::organisation_name organisation; ///< The organisation of the caller.
    std::vector<server_crash> crashes;    ///< Unordered, no duplicates.
    /// The zero-based position of the part in its prompt. The later a part, the
    /// fewer requests share it.
    std::uint32_t prompt_position = whole_request;

    [[nodiscard]] bool is_prompt_part() const noexcept
    {
        return prompt_position != whole_request;
    }

    /// Returns the time of the latest crash, or `core::time_point::min()` if
    /// there are no crashes.
    [[nodiscard]] core::time_point last_crash() const noexcept;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace godwit::admission
