#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/listed_server.hpp>
#include <godwit/membership/server_notice.hpp>
#include <godwit/membership/service_requirement.hpp>

#include <string>
#include <variant>
#include <vector>

namespace godwit::membership {

/// The host list was read. It is delayed, and may be empty or incomplete.
struct host_list_read
{
    std::vector<listed_server> servers;

    friend bool
    operator==(const host_list_read&, const host_list_read&) = default;
};

/// The host list could not be read; the previous one stays in use.
struct host_list_failed
{
    friend bool
    operator==(const host_list_failed&, const host_list_failed&) = default;
};

/// The catalogue's requirements for all services; replaces earlier ones.
struct requirements_changed
{
    std::vector<service_requirement> services;

    friend bool operator==(
        const requirements_changed&, const requirements_changed&) = default;
};

/// A backend server reported its load.
struct load_reported
{
    core::server_address server;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    listed_state state = listed_state::live;

    friend bool
    operator==(const load_reported&, const load_reported&) = default;
};

/// What a request or a probe showed about the health of a backend server.
enum class health_observation
{
    answered,     ///< It responded to a request.
    refused,      ///< It refused a connection.
    timed_out,    ///< A connection or a response timed out.
    failed,       ///< A broken connection, or a response to another
                  ///< request.
    leaving,      ///< It responded that it is leaving.
    probe_passed, ///< It responded to a probe as live.
    probe_failed, ///< It did not respond to a probe.
};

/// Returns the name of `value` for logs.
[[nodiscard]] std::string_view to_string(health_observation value) noexcept;

/// A request or a probe showed the health of a backend server.
struct server_observed
{
    core::server_address server;
    health_observation kind = health_observation::answered;

    friend bool
    operator==(const server_observed&, const server_observed&) = default;
};

/// A peer agent sent a notice.
struct notice_received
{
    core::server_address server;
    server_notice kind = server_notice::leaving;

    friend bool
    operator==(const notice_received&, const notice_received&) = default;
};

/// A peer agent connected; it may have received no notices yet.
struct peer_connected
{
    friend bool
    operator==(const peer_connected&, const peer_connected&) = default;
};

/// Advances the time; expected about once every 100 ms.
struct clock_ticked
{
    friend bool operator==(const clock_ticked&, const clock_ticked&) = default;
};

/// Any input of membership.
using event = std::variant<
    host_list_read,
    host_list_failed,
    requirements_changed,
    load_reported,
    server_observed,
    notice_received,
    peer_connected,
    clock_ticked>;

} // namespace godwit::membership
