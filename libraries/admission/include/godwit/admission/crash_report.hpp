#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <compare>
#include <vector>

namespace godwit::admission {

/// A backend server process, by its id and start, that ended while it ran a
/// request.
struct server_crash
{
    placement::server_id server;
    placement::server_start start;

    friend bool operator==(const server_crash&, const server_crash&) = default;
    friend auto operator<=>(const server_crash&, const server_crash&) = default;
};

/// The server crashes that ended runs of one request.
struct crash_report
{
    request_fingerprint request;
    core::organisation_name organisation; ///< The caller's.
    std::vector<server_crash> crashes;    ///< Sorted, without duplicates.
    core::time_point last_crash;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace godwit::admission
