#pragma once

#include <cstddef>
#include <string_view>

namespace godwit::capacity {

/// Writes one point of a sweep as a line of JSON on standard output:
/// `{"sweep": NAME, "x": SIZE, "y": VALUE}`.
void report_point(std::string_view sweep, std::size_t size, double value);

} // namespace godwit::capacity
