#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>

#include <boost/json/value.hpp>

#include <string>

namespace godwit::ctl {

/// Asks a process's operators' address for JSON. Fails with `unavailable`
/// or `timeout` when it cannot be reached, `not_found` as it answers, and
/// `protocol` when the answer is none.
[[nodiscard]] core::result<boost::json::value>
get_json(const http::endpoint& server, const std::string& target);

} // namespace godwit::ctl
