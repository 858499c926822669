#pragma once

#include <godwit/catalogue/verdict.hpp>
#include <godwit/core/error.hpp>
#include <godwit/settings/exit_code.hpp>

#include <boost/json/object.hpp>

namespace godwit::ctl {

/// Prints a failure to standard error; the code to end with.
settings::exit_code report_failure(const core::error& failure);

/// Prints `value` as JSON to standard output.
void print_json(const boost::json::value& value);

/// `decision` as JSON.
[[nodiscard]] boost::json::object to_json(const catalogue::verdict& decision);

} // namespace godwit::ctl
