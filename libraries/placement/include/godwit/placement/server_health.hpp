#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <map>

namespace godwit::placement {

/// How the exchanges with each backend server went, as its requests saw it.
class server_health
{
public:
    /// A server that could not be reached is avoided this long at first, and
    /// twice as long after each further failure.
    static constexpr core::duration initial_backoff =
        std::chrono::milliseconds(500);
    static constexpr core::duration max_backoff = std::chrono::seconds(4);
    /// The weight of the newest answer in the share of failed ones.
    static constexpr double smoothing_factor = 0.2;

    /// The server answered and did its work.
    void record_success(const server_id& server);

    /// The server answered that it failed.
    void record_failure(const server_id& server);

    /// No connection, no answer, or a broken one.
    void record_unreachable(const server_id& server, core::time_point now);

    /// The server had no room; it is passed over for a moment.
    void record_full(const server_id& server, core::time_point now);

    /// Whether requests should go elsewhere if they can.
    [[nodiscard]] bool
    is_avoided(const server_id& server, core::time_point now) const;

    /// Whether the server said a moment ago that it has no room.
    [[nodiscard]] bool
    is_full(const server_id& server, core::time_point now) const;

    /// The share of failed answers lately, 0 to 1.
    [[nodiscard]] double failure_rate(const server_id& server) const;

    /// Forgets the server.
    void forget(const server_id& server);

private:
    /// How long a server that had no room is passed over. What comes free
    /// meanwhile goes to other hosts, each of which asks as seldom.
    static constexpr core::duration full_backoff =
        std::chrono::milliseconds(400);

    struct record
    {
        unsigned unreachable_in_a_row = 0;
        double failure_rate = 0;
        core::time_point avoided_until{};
        core::time_point full_until{};
    };

    std::map<server_id, record> records_;
};

} // namespace godwit::placement
