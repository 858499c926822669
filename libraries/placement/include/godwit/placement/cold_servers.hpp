#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/token_bucket.hpp>
#include <godwit/routing/warm_up_profile.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace godwit::placement {

/// The backend servers that are cold or have to be presumed cold. Answers the
/// load of a zone or a wave of servers that come back together, empty, while
/// requests wait on every host.
///
/// Two mechanisms keep a server's requests within its rate. Hosts of a cell
/// report their requests to each other and draw on one token bucket, which
/// refills at the cell's share of the rate. Since hosts that send at the same
/// moment overdraw it, each host uses a server only in some time slots, which a
/// hash selects: of all hosts with waiting requests only a part sends before
/// the first reports arrive. Hosts that hear of too few others use as many
/// slots as they may send requests.
class cold_servers
{
public:
    /// Capacity of a bucket, as the time in which it refills. A bucket holds at
    /// least one request.
    static constexpr core::duration burst = std::chrono::milliseconds(100);
    /// Length of a time slot: longer than a report takes to reach a neighbour.
    static constexpr core::duration slot = std::chrono::milliseconds(50);
    /// The part of the rate that the buckets use; the rest allows for requests
    /// that overdraw them.
    static constexpr double used_rate_share = 0.8;
    /// Requests that all hosts of the fleet may send in one slot, as a share of
    /// the rate of one second.
    static constexpr double slot_rate_share = 0.5;
    /// A cell with a lower rate, per second, is too small for its bucket to
    /// limit requests that its hosts send at the same moment.
    static constexpr double min_cell_rate = 2.0;
    /// A warm-up that ends later than known by less than this is no news.
    static constexpr core::duration min_extension =
        std::chrono::milliseconds(250);

    /// `seed` differs from host to host.
    explicit cold_servers(std::uint64_t seed);

    /// Sets how many hosts of the fleet share their requests with this one, and
    /// how many the fleet has; both include this host.
    void set_hosts(std::size_t linked, std::size_t fleet_size);

    /// Records that the server is cold for another `remaining`. Returns whether
    /// this is news.
    bool record(
        const server_id& server,
        const routing::warm_up_profile& profile,
        core::duration remaining,
        core::time_point now);

    /// Counts requests that another host sent to the server.
    void record_requests(
        const server_id& server, unsigned requests, core::time_point now);

    /// Counts a request that this host sent to the server. Returns whether the
    /// server is cold.
    bool record_own_request(const server_id& server, core::time_point now);

    /// Time until another request may be sent to the server; zero if it may be
    /// sent now.
    [[nodiscard]] core::duration
    wait_time(const server_id& server, core::time_point now) const;

    [[nodiscard]] bool
    may_send(const server_id& server, core::time_point now) const;

    /// Returns how long the server stays cold; zero if it is warm.
    [[nodiscard]] core::duration
    remaining(const server_id& server, core::time_point now) const;

    /// Removes the servers that are warm.
    void expire(core::time_point now);

    /// Removes a server that left.
    void forget(const server_id& server);

    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

private:
    struct entry
    {
        core::time_point warm_at;
        double per_second = 0; ///< From all hosts together.
        token_bucket tokens;
        /// The last slot in which this host sent requests, and their number.
        std::int64_t used_slot = 0;
        unsigned used_in_slot = 0;
    };

    [[nodiscard]] token_bucket::limits bucket_limits(const entry& found) const;
    [[nodiscard]] const entry*
    find_cold(const server_id& server, core::time_point now) const;
    [[nodiscard]] entry*
    find_cold(const server_id& server, core::time_point now);
    /// Returns how many requests this host may send to the server in the slot.
    [[nodiscard]] unsigned slot_allowance(
        const server_id& server, const entry& found, std::int64_t number) const;
    [[nodiscard]] bool is_slot_free(
        const server_id& server, const entry& found, std::int64_t number) const;

    std::map<server_id, entry> servers_;
    double share_ = 1.0;
    std::size_t fleet_size_ = 1;
    std::uint64_t seed_;
};

} // namespace godwit::placement
