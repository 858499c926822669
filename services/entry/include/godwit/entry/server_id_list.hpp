#pragma once

#include <godwit/placement/backend_server.hpp>

#include <string>
#include <vector>

namespace godwit::entry {

/// Joins the first few server ids with commas, which keeps a log line short
/// however many servers there are.
[[nodiscard]] std::string
join_first_ids(const std::vector<placement::server_id>& servers);

} // namespace godwit::entry
