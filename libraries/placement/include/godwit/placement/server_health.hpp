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
    /// A server whose value is wrong must not be out of use for long.
    static constexpr core::duration max_requested_backoff =
        std::chrono::minutes(1);
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

    /// Records that the server asked this host for a backoff, for
    /// `max_requested_backoff` at the most. An earlier one is not shortened.
    void record_requested_backoff(
        const server_id& server, core::duration backoff, core::time_point now);

    /// Returns how much longer the server wants no requests of this host.
    [[nodiscard]] core::duration
    requested_backoff_left(const server_id& server, core::time_point now) const;

    /// Whether the server wants no requests of this host now.
    [[nodiscard]] bool
    has_requested_backoff(const server_id& server, core::time_point now) const
    {
        return requested_backoff_left(server, now) > core::duration::zero();
    }

    /// Ends the requested backoff of a server that restarted.
    void end_requested_backoff(const server_id& server)
    {
        requested_backoffs_.erase(server);
    }

    /// Whether other servers should be preferred.
    [[nodiscard]] bool
    is_avoided(const server_id& server, core::time_point now) const;

    /// Whether the server reported recently that it has no capacity.
    [[nodiscard]] bool
    is_full(const server_id& server, core::time_point now) const;

    /// The moving average of failed responses, 0 to 1.
    [[nodiscard]] double failure_rate(const server_id& server) const;

    /// Removes all records of the server but the backoff that it requested,
    /// which outlasts its records in the server list.
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
    /// When each of them ends.
    std::map<server_id, core::time_point> requested_backoffs_;
};

} // namespace godwit::placement
