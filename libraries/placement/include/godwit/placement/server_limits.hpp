#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/token_bucket.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// The request limit in a backend server's last answer.
struct server_limit
{
    /// The largest valid limit, in requests per second. Larger values are
    /// invalid.
    static constexpr double max_per_second = 1e6;

    server_id server;
    server_start start;
    /// Requests per second from all hosts together; empty if unlimited.
    std::optional<double> per_second;
    core::time_point answered_at;

    friend bool operator==(const server_limit&, const server_limit&) = default;
};

/// Request limits of backend servers, each with a token bucket.
///
/// Hosts report each request to a limited server to each other, so that all of
/// them count the same requests in their buckets. Each bucket refills at the
/// full limit: no share of it is reserved for a single host. During a network
/// partition, a host is linked only to the hosts on its side. It then uses only
/// the share of the limit that these hosts have in the fleet, so that all sides
/// together stay within the limit.
class server_limits
{
public:
    /// Capacity of a bucket, as the time in which it refills at the full rate.
    /// A bucket holds at least one request.
    static constexpr core::duration burst = std::chrono::milliseconds(500);
    /// Lower limits are raised to this: only answers carry a changed limit, so
    /// that a server with a limit of 0 still has to get requests.
    static constexpr double min_per_second = 0.2;

    /// Sets how many hosts of the fleet share their requests with this one, and
    /// how many the fleet has; both include this host.
    void set_hosts(std::size_t linked, std::size_t fleet_size);

    /// Applies the answer to a request that was sent at `sent_at`. Returns the
    /// limit if it changed.
    std::optional<server_limit>
    update_from_answer(const server_limit& answer, core::time_point sent_at);

    /// Applies a limit from another host. Returns whether the limit changed.
    bool update_from_neighbour(const server_limit& received);

    /// Counts requests that this host or another one sent to the server.
    /// Returns whether the server is limited.
    bool record_requests(
        const server_id& server, unsigned requests, core::time_point now);

    /// Time until another request may be sent to the server; zero if it may be
    /// sent now.
    [[nodiscard]] core::duration
    wait_time(const server_id& server, core::time_point now) const;

    [[nodiscard]] bool
    may_send(const server_id& server, core::time_point now) const
    {
        return wait_time(server, now) == core::duration::zero();
    }

    /// The last known limit, also if it was lifted; null if there was none.
    [[nodiscard]] const server_limit* find(const server_id& server) const;

    [[nodiscard]] bool is_limited(const server_id& server) const;

    /// Removes the limit of a server that left or restarted.
    void forget(const server_id& server);

    /// Whether no limits are known, not even lifted ones.
    [[nodiscard]] bool empty() const noexcept { return buckets_.empty(); }

    /// All limits in force.
    [[nodiscard]] std::vector<server_limit> limits() const;

private:
    struct bucket
    {
        server_limit limit;
        token_bucket tokens;
    };

    [[nodiscard]] static bucket new_bucket(const server_limit& limit);
    bool update(const server_limit& limit);
    [[nodiscard]] token_bucket::limits bucket_limits(const bucket& found) const;

    std::map<server_id, bucket> buckets_;
    double share_ = 1.0;
};

} // namespace godwit::placement
