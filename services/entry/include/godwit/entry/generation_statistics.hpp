#pragma once

#include <godwit/admission/engine_speed_estimator.hpp>
#include <godwit/admission/generation_parameters.hpp>
#include <godwit/admission/length_estimator.hpp>
#include <godwit/admission/observed_lengths.hpp>
#include <godwit/core/error.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/routing/route_table.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/wire/length_sums.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

namespace godwit::entry {

/// The output lengths of each route and the engine speeds of each service, as
/// this host and its cell observe them. Does nothing unless the settings enable
/// it (`entry_settings::learns_lengths`).
class generation_statistics
{
public:
    static constexpr std::size_t max_routes = 64;
    static constexpr std::size_t max_services = 16;
    static constexpr core::duration send_interval = std::chrono::seconds(1);

    /// Keeps references to both arguments.
    generation_statistics(
        const entry_settings& settings, telemetry::metrics& metrics);

    generation_statistics(const generation_statistics&) = delete;
    generation_statistics& operator=(const generation_statistics&) = delete;

    /// Returns what is known about a run of this length; nothing if it is too
    /// little.
    [[nodiscard]] std::optional<admission::observed_lengths> observe(
        const std::string& route,
        const core::service_name& service,
        std::uint64_t written_tokens,
        core::time_point now) const;

    /// Returns the prefill rate of the service's engines.
    [[nodiscard]] double prefill_tokens_per_ms(
        const core::service_name& service, core::time_point now) const;

    void record_growth(
        const std::string& route,
        std::uint64_t from,
        std::uint64_t to,
        core::time_point now);

    void record_end(
        const std::string& route,
        const admission::generation_parameters& parameters,
        std::uint64_t tokens,
        core::time_point now);

    void record_first_event(
        const core::service_name& service,
        std::uint64_t unread_tokens,
        core::duration elapsed,
        core::time_point now);

    void record_step(
        const core::service_name& service,
        double step_ms,
        core::time_point now);

    /// Applies the sums of a host of this host's cell.
    void handle(
        const core::host_name& host,
        const wire::length_sums& message,
        core::time_point now);

    /// Returns the message for a host whose link opens, if there is anything to
    /// tell.
    [[nodiscard]] std::optional<wire::length_sums>
    initial_message(core::time_point now) const;

    /// Called on each tick with the route table in force, if any. Discards what
    /// is outdated, and returns the message for the cell if one is due.
    [[nodiscard]] std::optional<wire::length_sums> tick(
        const std::shared_ptr<const routing::route_table>& routes,
        core::time_point now);

private:
    [[nodiscard]] bool is_usable(core::time_point now) const;
    [[nodiscard]] admission::length_estimator*
    lengths_of(const std::string& route);
    [[nodiscard]] admission::engine_speed_estimator*
    speeds_of(const core::service_name& service);
    void discard_outdated(core::time_point now);
    void retain(const std::shared_ptr<const routing::route_table>& routes);
    void reject(const core::host_name& host, const core::error& why);
    void review(core::time_point now);
    [[nodiscard]] wire::length_sums own_sums(core::time_point now) const;

    const entry_settings& settings_;
    telemetry::metrics& metrics_;
    std::map<std::string, admission::length_estimator> lengths_;
    std::map<core::service_name, admission::engine_speed_estimator> speeds_;
    /// The table that `known_routes_` is from.
    std::shared_ptr<const routing::route_table> routes_;
    std::unordered_set<std::string> known_routes_;
    /// Neighbours whose malformed messages were logged.
    std::set<core::host_name> malformed_from_;
    std::optional<core::time_point> last_tick_at_;
    core::time_point sent_at_{};
    core::time_point reviewed_at_{};
    bool has_news_ = false; ///< Since the last message to the cell.
};

} // namespace godwit::entry
