#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <map>

namespace godwit::placement {

/// The health of each backend server, judged by the results of its requests.
class server_health
{
public:
    /// How long an unreachable server is avoided, doubled after each further
    /// failure.
    static constexpr core::duration initial_backoff =
        std::chrono::milliseconds(500);
    static constexpr core::duration max_backoff = std::chrono::seconds(4);
    /// The weight of the newest response in the failure rate.
    static constexpr double smoothing_factor = 0.2;

    /// Records a response that completed the request.
    void record_success(const server_id& server);

    /// Records a response that reports a failure.
    void record_failure(const server_id& server);

    /// Records that there was no connection, no response or an incomplete one.
    void record_unreachable(const server_id& server, core::time_point now);

    /// Records that the server had no capacity; it is avoided for a short time.
    void record_full(const server_id& server, core::time_point now);

    /// Records that the server wants no requests of this host until then. What
    /// it asked for before is not shortened.
    void record_rest(
        const server_id& server, core::time_point until, core::time_point now);

    /// Returns how much longer the server wants no requests of this host.
    [[nodiscard]] core::duration
    rest_left(const server_id& server, core::time_point now) const;

    /// Ends the rest of a server that restarted.
    void end_rest(const server_id& server) { rests_.erase(server); }

    /// Whether other servers should be preferred.
    [[nodiscard]] bool
    is_avoided(const server_id& server, core::time_point now) const;

    /// Whether the server reported recently that it has no capacity.
    [[nodiscard]] bool
    is_full(const server_id& server, core::time_point now) const;

    /// The moving average of failed responses, 0 to 1.
    [[nodiscard]] double failure_rate(const server_id& server) const;

    /// Removes all records of the server but its rest, which outlasts its
    /// records in the server list.
    void forget(const server_id& server);

private:
    /// How long a server without capacity is avoided. Capacity that becomes
    /// free meanwhile goes to other hosts, which all try as rarely.
    static constexpr core::duration full_backoff =
        std::chrono::milliseconds(400);

    struct record
    {
        unsigned consecutive_unreachable = 0;
        double failure_rate = 0;
        core::time_point avoided_until{};
        core::time_point full_until{};
    };

    std::map<server_id, record> records_;
    std::map<server_id, core::time_point> rests_; ///< When each of them ends.
};

} // namespace godwit::placement
