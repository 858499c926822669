#pragma once

#include <godwit/load/outside_view.hpp>
#include <godwit/load/planned_request.hpp>
#include <godwit/load/request_record.hpp>

#include <vector>

namespace godwit::load {

/// Notes in the records which bookings had two effects, which had one though
/// "not run" was said, and which had none though they were answered.
void check_effects(
    const std::vector<planned_request>& plan,
    const effect_counts& effects,
    std::vector<request_record>& records);

} // namespace godwit::load
