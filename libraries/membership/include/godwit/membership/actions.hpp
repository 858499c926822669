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

/// Give this snapshot to dispatch in place of the last one.
struct publish_snapshot
{
    std::shared_ptr<const pool_snapshot> snapshot;

    friend bool
    operator==(const publish_snapshot&, const publish_snapshot&) = default;
};

/// Tell the peer agents.
struct forward_notice
{
    core::server_address server;
    server_notice kind = server_notice::leaving;

    friend bool
    operator==(const forward_notice&, const forward_notice&) = default;
};

/// Ask the server for its load and report `probe_passed` or `probe_failed`.
struct probe_server
{
    core::server_address server;

    friend bool operator==(const probe_server&, const probe_server&) = default;
};

/// A server changed its state; for the log.
struct state_changed
{
    core::server_address server;
    server_state from = server_state::live;
    server_state to = server_state::live;
    std::string reason;

    friend bool
    operator==(const state_changed&, const state_changed&) = default;
};

/// A host list was not believed; for the log and an alarm.
struct host_list_implausible
{
    std::size_t missing = 0; ///< Servers that it left out.
    std::size_t known = 0;

    friend bool operator==(
        const host_list_implausible&, const host_list_implausible&) = default;
};

/// Everything that membership can want done.
using action = std::variant<
    publish_snapshot,
    forward_notice,
    probe_server,
    state_changed,
    host_list_implausible>;

} // namespace godwit::membership
