#include <godwit/entry/entry_settings.hpp>

#include <godwit/settings/read_values.hpp>
#include <godwit/telemetry/read_log_level.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace godwit::entry {

namespace {

constexpr std::size_t max_seeds = 16;
constexpr double max_link_mbps = 1e7;

core::result<http::endpoint>
read_endpoint(settings::reader& from, std::string_view key)
{
    const settings::address address = GODWIT_TRY(from.get_address(key));
    return http::endpoint::parse(address.to_string());
}

core::result<std::optional<http::endpoint>>
read_optional_endpoint(settings::reader& from, std::string_view key)
{
    const auto keys = from.keys();
    if (std::find(keys.begin(), keys.end(), key) == keys.end())
        return std::optional<http::endpoint>();
    return GODWIT_TRY(read_endpoint(from, key));
}

core::result<core::duration> read_seconds(
    settings::reader& from, std::string_view key, core::duration absent)
{
    constexpr double shortest = 0.1;
    constexpr double longest = 3600;
    const double seconds = GODWIT_TRY(from.get_number(
        key,
        {shortest, longest},
        std::chrono::duration<double>(absent).count()));
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
}

core::result<std::vector<http::endpoint>> read_seeds(settings::reader& from)
{
    const auto addresses = GODWIT_TRY(from.get_addresses("seeds", max_seeds));
    std::vector<http::endpoint> seeds;
    seeds.reserve(addresses.size());
    for (const settings::address& one : addresses)
        seeds.push_back(GODWIT_TRY(http::endpoint::parse(one.to_string())));
    return seeds;
}

core::result<routing::zone_regions> read_regions(settings::reader& from)
{
    auto zones = GODWIT_TRY(from.get_object("zones"));
    std::map<core::zone_name, core::region_name> regions;
    for (const std::string& zone : zones.keys()) {
        auto region =
            GODWIT_TRY(settings::read_name<core::region_name>(zones, zone));
        regions.emplace(core::zone_name(zone), std::move(region));
    }
    return routing::zone_regions(std::move(regions));
}

} // namespace

entry_settings
entry_settings::with_reloadable_settings(const entry_settings& newer) const
{
    entry_settings result = *this;
    result.seeds = newer.seeds;
    result.regions = newer.regions;
    result.link_mbps = newer.link_mbps;
    result.stop_grace = newer.stop_grace;
    result.retry_share = newer.retry_share;
    result.retry_allowance = newer.retry_allowance;
    result.retry_window = newer.retry_window;
    result.max_rollout_exposure = newer.max_rollout_exposure;
    result.learns_lengths = newer.learns_lengths;
    return result;
}

core::result<entry_settings> entry_settings::read(settings::reader source)
{
    auto listen = GODWIT_TRY(source.get_object("listen"));
    // Read one by one: a return out of an initialiser list, which GODWIT_TRY
    // makes on failure, does not destroy the elements that were already
    // constructed (g++ 12).
    const auto host =
        GODWIT_TRY(settings::read_name<core::host_name>(source, "host"));
    const auto zone =
        GODWIT_TRY(settings::read_name<core::zone_name>(source, "zone"));
    const auto regions = GODWIT_TRY(read_regions(source));
    const auto log_level = GODWIT_TRY(telemetry::read_log_level(source));
    const auto callers = GODWIT_TRY(read_endpoint(listen, "callers"));
    const auto readiness = GODWIT_TRY(read_endpoint(listen, "readiness"));
    const auto operators = GODWIT_TRY(read_endpoint(listen, "operators"));
    const auto neighbours = GODWIT_TRY(read_endpoint(listen, "neighbours"));
    const auto tunnels = GODWIT_TRY(read_optional_endpoint(listen, "tunnels"));
    const auto seeds = GODWIT_TRY(read_seeds(source));
    entry_settings read{
        .host = host,
        .zone = zone,
        .regions = regions,
        .log_level = log_level,
        .callers = callers,
        .readiness = readiness,
        .operators = operators,
        .neighbours = neighbours,
        .tunnels = tunnels,
        .seeds = seeds,
    };
    GODWIT_TRY(listen.finish(true));
    read.caller_connections = GODWIT_TRY(settings::read_count(
        source, "caller_connections", {1, 65536}, read.caller_connections));
    read.memory_mb = GODWIT_TRY(settings::read_count(
        source, "memory_mb", {32, 1'000'000}, read.memory_mb));
    read.descriptors = GODWIT_TRY(settings::read_count(
        source, "descriptors", {256, 10'000'000}, read.descriptors));
    read.link_mbps = GODWIT_TRY(
        source.get_number("link_mbps", {0.0, max_link_mbps}, read.link_mbps));
    read.stop_grace =
        GODWIT_TRY(read_seconds(source, "stop_grace_s", read.stop_grace));
    auto retry = GODWIT_TRY(source.get_object("retry"));
    read.retry_share =
        GODWIT_TRY(retry.get_number("share", {0.0, 1.0}, read.retry_share));
    read.retry_allowance = GODWIT_TRY(
        retry.get_number("allowance", {0.0, 1e6}, read.retry_allowance));
    read.retry_window =
        GODWIT_TRY(read_seconds(retry, "window_s", read.retry_window));
    GODWIT_TRY(retry.finish(true));
    read.max_rollout_exposure = GODWIT_TRY(source.get_number(
        "max_rollout_exposure", {0.0, 1.0}, read.max_rollout_exposure));
    auto admission = GODWIT_TRY(source.get_object("admission"));
    read.learns_lengths = GODWIT_TRY(
        admission.get_boolean("learned_lengths", read.learns_lengths));
    GODWIT_TRY(admission.finish(true));
    return source.finish(std::move(read));
}

} // namespace godwit::entry
