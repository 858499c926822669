#pragma once

#include "engine_settings.hpp"
#include "simulated_request.hpp"

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/policy.hpp>
#include <godwit/dispatch/request_kind.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit::bench {

/// A distribution of tokens: lognormal, with a Pareto tail for some.
struct token_distribution
{
    double median = 1.0;
    double sigma = 0.0;
    double tail_share = 0.0;
    double tail_from = 1.0;
    double tail_exponent = 1.5;
    std::uint32_t least = 1;
    std::uint32_t most = 1;

    [[nodiscard]] std::uint32_t draw(core::random& random) const;
};

/// Requests of one kind in a workload.
struct workload_class
{
    std::string name;
    dispatch::request_kind kind = dispatch::request_kind::generation;
    /// Of the generations' arrivals; of a call, arrivals a second.
    double share = 0.0;
    token_distribution prompt{};
    token_distribution length{};
    /// How long a caller waits for the first token, or for a call's answer.
    core::duration patience{};
    /// Long work, whose share and worst wait are reported.
    bool is_long = false;
    dispatch::class_policy limits;
};

/// What a bench run offers, and to what.
struct workload
{
    std::string name;
    std::vector<workload_class> classes;
    engine_settings engine;
    /// Engines by availability zone.
    std::vector<std::size_t> engines;
    std::size_t entry_hosts = 6;
    std::size_t service_replicas = 3;
    std::uint32_t service_concurrency = 8;
    /// One way, between availability zones and within one.
    core::duration between_zones{};
    core::duration within_zone = std::chrono::microseconds(100);
    std::size_t organisations = 10;
    /// Share of arrivals of the one large organisation.
    double largest_share = 0.5;
    double service_work_ms = 20.0;
    /// The operator's setting for the model service.
    double overcommit = 1.0;
    core::duration length = std::chrono::seconds(480);
    core::duration warm_up = std::chrono::seconds(120);
    core::duration drain = std::chrono::seconds(240);
    /// One engine is lost at that time, and back after that time.
    core::duration engine_lost_at = std::chrono::seconds(240);
    core::duration engine_lost_for = std::chrono::seconds(120);

    [[nodiscard]] std::size_t engine_count() const;

    /// Generations a second that the engines can sustain with their memory
    /// full, or with a batch whose step takes `capacity_step_ms`.
    [[nodiscard]] double capacity() const;

    /// The arrivals at `load` times the capacity, in order of time.
    [[nodiscard]] std::vector<simulated_request>
    generate(double load, std::uint64_t seed) const;
};

/// Names' histories that are streamed, and clerks' short checks.
[[nodiscard]] workload krajevnik();

/// Handover reports, defect tags, and confirmations.
[[nodiscard]] workload predavka();

} // namespace godwit::bench
