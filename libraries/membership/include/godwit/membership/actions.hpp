#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/pool_snapshot.hpp>
#include <godwit/membership/server_notice.hpp>
#include <godwit/membership/server_state.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

namespace godwit::membership {

/// Replaces the snapshot that dispatch uses.
struct publish_snapshot
{
    std::shared_ptr<const pool_snapshot> snapshot;

    friend bool
    operator==(const publish_snapshot&, const publish_snapshot&) = default;
};

/// Sends a notice about the server to the peer agents.
struct forward_notice
{
    core::server_address server;
    server_notice kind = server_notice::leaving;

    friend bool
    operator==(const forward_notice&, const forward_notice&) = default;
};

/// Requests the server's load; the result is reported as `probe_passed` or
/// `probe_failed`.
struct probe_server
{
    core::server_address server;

    friend bool operator==(const probe_server&, const probe_server&) = default;
};

/// Logs a state change of a server.
struct state_changed
{
    core::server_address server;
    server_state from = server_state::live;
    server_state to = server_state::live;
    std::string reason;

    friend bool
    operator==(const state_changed&, const state_changed&) = default;
};

/// Logs an implausible host list and raises an alarm.
struct host_list_implausible
{
    std::size_t missing = 0; ///< Known servers that it does not contain.
    std::size_t known = 0;

    friend bool operator==(
        const host_list_implausible&, const host_list_implausible&) = default;
};

/// Any action that membership requests.
using action = std::variant<
    publish_snapshot,
    forward_notice,
    probe_server,
    state_changed,
    host_list_implausible>;

} // namespace godwit::membership
