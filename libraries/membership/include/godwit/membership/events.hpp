#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/listed_server.hpp>
#include <godwit/membership/server_notice.hpp>
#include <godwit/membership/service_requirement.hpp>

#include <string>
#include <variant>
#include <vector>

namespace godwit::membership {

/// The host list was read. It lags, and may be empty or damaged.
struct host_list_read
{
    std::vector<listed_server> servers;

    friend bool
    operator==(const host_list_read&, const host_list_read&) = default;
};

/// The host list could not be read: the last view stays.
struct host_list_failed
{
    friend bool
    operator==(const host_list_failed&, const host_list_failed&) = default;
};

/// The catalogue's requirements of all services, replacing earlier ones.
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

/// What a request or a probe saw of a backend server.
enum class health_observation
{
    answered,     ///< A request was answered.
    refused,      ///< A connection was refused.
    timed_out,    ///< No connection, or no answer, in time.
    failed,       ///< The connection broke, or the answer was not its own.
    leaving,      ///< It answered that it is leaving.
    probe_passed, ///< A probe was answered as live.
    probe_failed, ///< A probe was not answered.
};

/// The name of `value` as it appears in logs.
[[nodiscard]] std::string_view to_string(health_observation value) noexcept;

/// A request or a probe saw a backend server.
struct server_observed
{
    core::server_address server;
    health_observation kind = health_observation::answered;

    friend bool
    operator==(const server_observed&, const server_observed&) = default;
};

/// A peer agent passed a sign on.
struct notice_received
{
    core::server_address server;
    server_notice kind = server_notice::leaving;

    friend bool
    operator==(const notice_received&, const notice_received&) = default;
};

/// A peer agent connected, and may know nothing yet.
struct peer_connected
{
    friend bool
    operator==(const peer_connected&, const peer_connected&) = default;
};

/// Time passed; expected about once every 100 ms.
struct clock_ticked
{
    friend bool operator==(const clock_ticked&, const clock_ticked&) = default;
};

/// Everything that membership is told.
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
