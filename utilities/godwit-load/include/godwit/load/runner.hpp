#pragma once

#include <godwit/load/planned_request.hpp>
#include <godwit/load/request_record.hpp>
#include <godwit/load/run_settings.hpp>

#include <vector>

namespace godwit::load {

/// Runs a plan on one thread, each request at its time whatever became of
/// the ones before, and returns a record for each in the plan's order. Ends
/// at the last arrival and the patience after it.
[[nodiscard]] std::vector<request_record> run_plan(
    const run_settings& settings, const std::vector<planned_request>& plan);

} // namespace godwit::load
