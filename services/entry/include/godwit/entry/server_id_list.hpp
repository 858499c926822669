#pragma once

#include <godwit/placement/backend_server.hpp>

#include <string>
#include <vector>

namespace godwit::entry {

/// The first few of the servers' names with commas between them: a line of
/// the log stays short, however many servers there are.
[[nodiscard]] std::string
join_first_ids(const std::vector<placement::server_id>& servers);

} // namespace godwit::entry
