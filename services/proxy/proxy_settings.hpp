#pragma once

#include "backend_settings.hpp"
#include "caller_settings.hpp"
#include "drain_settings.hpp"
#include "static_settings.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/dispatch/scheduler_settings.hpp>
#include <godwit/http/server_limits.hpp>
#include <godwit/request/life_settings.hpp>
#include <godwit/request/token_key.hpp>
#include <godwit/settings/address.hpp>
#include <godwit/settings/reader.hpp>
#include <godwit/telemetry/log_level.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace godwit::proxy {

/// Everything that godwit-proxy is told by its settings file. The keys are
/// in docs/SETTINGS.md.
struct proxy_settings
{
    /// Everything else has a default.
    proxy_settings(
        core::host_name own_host,
        core::zone_name own_zone,
        settings::address callers_at,
        settings::address operators_at,
        settings::address peers_at);

    core::host_name host;
    core::zone_name zone;
    settings::address callers_address;
    settings::address operators_address;
    /// Where the proxies of other entry hosts ask this one.
    settings::address peers_address;
    /// None: the catalogue and servers come from `static` alone.
    std::optional<settings::address> agent;
    telemetry::log_level log_level = telemetry::log_level::info;
    /// Threads that serve traffic, beside the one for control state.
    std::size_t traffic_threads = 2;
    http::server_limits http_limits;
    /// What the process may use, in megabytes of 10^6 bytes. Half of it is for
    /// what callers and other hosts make it hold.
    std::size_t memory_mb = 512;
    /// How many descriptors the process may open. Three quarters of them are
    /// for callers and other hosts.
    std::size_t descriptors = 16384;
    caller_settings callers;
    backend_settings backend;
    request::life_settings life;
    dispatch::scheduler_settings dispatch;
    drain_settings drain;
    /// The first seals resume tokens, all open them.
    std::vector<request::token_key> resume_keys;
    /// How long a resume token is good for.
    core::duration resume_validity = std::chrono::hours(1);
    std::size_t explain_records = 65536;
    static_settings fixed;

    /// Reads the whole file and refuses unknown keys. Fails with
    /// `invalid_input`.
    static core::result<proxy_settings> read(settings::reader file);

    friend bool
    operator==(const proxy_settings&, const proxy_settings&) = default;
};

} // namespace godwit::proxy
