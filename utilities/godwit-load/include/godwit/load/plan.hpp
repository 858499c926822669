#pragma once

#include <godwit/core/result.hpp>
#include <godwit/load/plan_settings.hpp>
#include <godwit/load/planned_request.hpp>

#include <vector>

namespace godwit::load {

/// The requests of a run, by time: arrivals are a Poisson process, and
/// everything is a function of the settings. Fails with `exhausted` when
/// there would be more than a million.
[[nodiscard]] core::result<std::vector<planned_request>>
make_plan(const plan_settings& settings);

} // namespace godwit::load
