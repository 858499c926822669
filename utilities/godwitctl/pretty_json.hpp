#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace godwit::ctl {

/// `value` as JSON over several lines, for people.
[[nodiscard]] std::string pretty_json(const boost::json::value& value);

} // namespace godwit::ctl
