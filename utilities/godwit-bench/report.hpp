#pragma once

#include "measurements.hpp"
#include "scheduler_variation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::bench {

/// What tells a run from the others.
struct run_key
{
    std::string workload;
    std::string policy;
    double load = 0.0;
    double lag_s = 0.0;
    std::uint64_t seed = 0;
};

/// A run and what it measured.
struct run_result
{
    run_key key;
    measurements measured;
};

/// The scheduler as it is, and with one mechanism taken out or changed.
[[nodiscard]] const std::vector<scheduler_variation>& all_variations();

/// The variation of that name, which may go on with changed settings such as
/// "godwit:overcommit=1.2:quantile=0.4"; none if there is none.
[[nodiscard]] std::optional<scheduler_variation>
find_variation(std::string_view name);

/// Tables of means over seeds with the spread (least to most), one for each
/// workload, lag and load. Runs of the same key must stand together.
[[nodiscard]] std::string to_markdown(const std::vector<run_result>& runs);

/// Every run with every measure.
[[nodiscard]] std::string to_json(const std::vector<run_result>& runs);

} // namespace godwit::bench
