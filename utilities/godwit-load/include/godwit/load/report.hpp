#pragma once

#include <godwit/load/run_summary.hpp>

#include <string>

namespace godwit::load {

/// The summary as a JSON object; times in milliseconds.
[[nodiscard]] std::string to_json(const run_summary& summary);

/// The summary as a table for people.
[[nodiscard]] std::string to_table(const run_summary& summary);

} // namespace godwit::load
