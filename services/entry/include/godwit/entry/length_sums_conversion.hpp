#pragma once

#include <godwit/admission/engine_speeds.hpp>
#include <godwit/admission/length_sums.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/wire/length_sums.hpp>

#include <string>

namespace godwit::entry {

[[nodiscard]] wire::route_lengths
to_wire(const std::string& route, const admission::length_sums& sums);

[[nodiscard]] wire::service_speed to_wire(
    const core::service_name& service, const admission::engine_speeds& speeds);

/// Fails with `protocol` if the route is missing or a value is out of range.
[[nodiscard]] core::result<admission::length_sums>
to_length_sums(const wire::route_lengths& received);

/// Fails with `protocol` if the service is missing or a value is out of range.
[[nodiscard]] core::result<admission::engine_speeds>
to_engine_speeds(const wire::service_speed& received);

} // namespace godwit::entry
