#pragma once

#include "claims_settings.hpp"
#include "log_settings.hpp"
#include "orders_settings.hpp"

#include <godwit/catalogue/follower_settings.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/platform/host_list_options.hpp>
#include <godwit/settings/address.hpp>
#include <godwit/settings/reader.hpp>
#include <godwit/telemetry/log_level.hpp>
#include <godwit/wire/link_options.hpp>

#include <vector>

namespace godwit::agent {

/// Everything that godwit-agent is told by its settings file. The keys are
/// in docs/AGENT.md.
struct agent_settings
{
    core::host_name host;
    core::zone_name zone;
    settings::address frames_address;
    settings::address operators_address;
    settings::address platform;

    /// Peers to learn from while the host list is not to be had.
    std::vector<settings::address> peers;

    telemetry::log_level log_level = telemetry::log_level::info;
    log_settings log;
    platform::host_list_options host_list;
    catalogue::follower_settings catalogue;
    claims_settings claims;
    orders_settings orders;
    wire::link_options links;

    /// Standing still for longer than this counts as a pause.
    core::duration pause_limit = std::chrono::seconds(1);

    /// Reads the whole file and refuses unknown keys. Fails with
    /// `invalid_input`.
    static core::result<agent_settings> read(settings::reader file);

    friend bool
    operator==(const agent_settings&, const agent_settings&) = default;
};

} // namespace godwit::agent
