#pragma once

#include <godwit/core/time.hpp>
#include <godwit/routing/region_set.hpp>
#include <godwit/routing/response_mode.hpp>
#include <godwit/routing/retry_semantics.hpp>
#include <godwit/routing/weighted_service.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace godwit::routing {

/// The services that handle requests with a host and path prefix, and what
/// their callers expect.
struct route
{
    std::string name;
    std::string host;        ///< Without a port, in lower case.
    std::string path_prefix; ///< Begins and ends with a slash.
    response_mode mode = response_mode::buffered;
    retry_semantics retries = retry_semantics::at_most_once;
    /// Longest time until the complete response.
    core::duration timeout = std::chrono::seconds(30);
    /// Target time until the response, or until the first event of a stream.
    core::duration latency_objective = std::chrono::seconds(1);
    /// Longest gap between two events that counts as on time.
    core::duration gap_objective = std::chrono::milliseconds(200);
    /// The maximum number of backend servers that may run a request.
    unsigned max_attempts = 1;
    int priority = 0; ///< 0 is the most urgent.
    /// Whether a stream that lost its server may go on in a new run at another
    /// one, after the last event that its caller received.
    bool is_resumable = false;
    bool is_public = false;                 ///< Requires no key.
    std::vector<weighted_service> services; ///< At least one.
    /// Where its requests may be processed.
    region_set allowed_regions = region_set::all();

    friend bool operator==(const route&, const route&) = default;
};

} // namespace godwit::routing
