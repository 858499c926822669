#pragma once

#include "peer_links.hpp"
#include "proxy_feed.hpp"

#include <godwit/catalogue/follower_status.hpp>
#include <godwit/claims/claimer.hpp>
#include <godwit/platform/log_client_counters.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace godwit::agent {

// The sections of the agent's state dump.

[[nodiscard]] boost::json::object describe(
    const catalogue::follower_status& status,
    std::optional<std::uint64_t> in_force);

[[nodiscard]] boost::json::object describe(const proxy_feed& feed);

[[nodiscard]] boost::json::object describe(const peer_links& peers);

[[nodiscard]] boost::json::object describe(const claims::claimer& claimer);

[[nodiscard]] boost::json::object
describe(const platform::log_client_counters& counters);

} // namespace godwit::agent
