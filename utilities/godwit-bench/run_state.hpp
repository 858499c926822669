#pragma once

#include "event_queue.hpp"
#include "gap_histogram.hpp"
#include "plain_service.hpp"
#include "run_settings.hpp"
#include "simulated_engine.hpp"
#include "simulated_request.hpp"
#include "workload.hpp"

#include <godwit/core/random.hpp>

#include <cstddef>
#include <vector>

namespace godwit::bench {

/// What the parts of a run share: its clock, its requests and its servers.
/// Servers are numbered, the engines first and then the plain services.
struct run_state
{
    /// `offered` outlives the run.
    run_state(const workload& offered, const run_settings& of_run);

    [[nodiscard]] bool is_engine(std::size_t server) const;
    [[nodiscard]] plain_service& service_at(std::size_t server);
    [[nodiscard]] std::size_t zone_of(std::size_t server) const;
    [[nodiscard]] std::size_t zone_of_host(std::size_t host) const;
    [[nodiscard]] core::duration
    latency(std::size_t zone, std::size_t other) const;
    [[nodiscard]] bool is_call(const simulated_request& request) const;

    /// Whether each engine has one entry host that grants its memory.
    [[nodiscard]] bool home_hosts() const;
    [[nodiscard]] std::size_t home_of(std::size_t engine) const;

    const workload& plan;
    run_settings settings;
    core::random random;
    event_queue events;
    std::vector<simulated_request> requests;
    std::vector<simulated_engine> engines;
    std::vector<plain_service> services;
    gap_histogram gaps;
};

} // namespace godwit::bench
