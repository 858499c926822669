#pragma once

#include "scheduler_variation.hpp"

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::bench {

/// What a single run is about, besides its workload.
struct run_settings
{
    double load = 0.9;
    core::duration report_lag = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
    scheduler_variation variation;
};

} // namespace godwit::bench
