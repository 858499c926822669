#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/routing/zone_regions.hpp>
#include <godwit/settings/reader.hpp>
#include <godwit/telemetry/log_level.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace godwit::entry {

/// The settings of an entry host's process.
struct entry_settings
{
    core::host_name host;
    core::zone_name zone;
    routing::zone_regions regions = {}; ///< Of all zones of the deployment.
    telemetry::log_level log_level = telemetry::log_level::info;
    http::endpoint callers;    ///< Where callers connect.
    http::endpoint readiness;  ///< Where the load balancer probes.
    http::endpoint operators;  ///< Serves metrics and the state dump.
    http::endpoint neighbours; ///< Where other entry hosts connect.
    /// Where other entry hosts open tunnels to backend servers; if empty, any
    /// free port of the neighbours' address.
    std::optional<http::endpoint> tunnels = {};
    /// Addresses at which some other entry hosts may be found.
    std::vector<http::endpoint> seeds;
    std::size_t caller_connections = 3000;
    /// What the process may use, in megabytes of 10^6 bytes. Half of it is for
    /// what clients make the host hold.
    std::size_t memory_mb = 88;
    /// How many descriptors the process may open. Three quarters of them are
    /// for clients.
    std::size_t descriptors = 4096;
    /// Capacity of the host's network link in each direction, in Mbit/s; 0 if
    /// it is not known.
    double link_mbps = 0;
    /// Time from the stop signal until the process has to have ended.
    core::duration stop_grace = std::chrono::seconds(8);
    /// The share of a service's requests that may be retried.
    double retry_share = 0.2;
    /// Number of retries beyond `retry_share` that all hosts together may make
    /// in one window.
    double retry_allowance = 50;
    core::duration retry_window = std::chrono::seconds(10);
    /// The largest share of a service's requests until the deadline of a
    /// rollout that a bad version may get.
    double max_rollout_exposure = 0.05;
    /// Whether memory is planned by the output lengths and the engine speeds
    /// that hosts observe.
    bool learns_lengths = false;

    friend bool
    operator==(const entry_settings&, const entry_settings&) = default;

    /// Returns these settings with the values of `newer` for those that a
    /// running process can change: seeds, regions, link, grace, retries,
    /// the exposure of rollouts and admission. Listeners, names and the log
    /// stay as they are until the next start.
    [[nodiscard]] entry_settings
    with_reloadable_settings(const entry_settings& newer) const;

    /// Reads the object of these settings and rejects unknown keys. Fails with
    /// `invalid_input`.
    [[nodiscard]] static core::result<entry_settings>
    read(settings::reader source);
};

} // namespace godwit::entry
