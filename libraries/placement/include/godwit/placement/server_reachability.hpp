#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <cstddef>
#include <map>

namespace godwit::placement {

/// Whether this host can open connections to backend servers, or has lost its
/// links to all of them. Failures at several servers cause a probe of some
/// others; only when all of these fail as well are the links lost.
class server_reachability
{
public:
    /// Time for which a failure counts.
    static constexpr core::duration failure_window = std::chrono::seconds(2);
    /// Number of servers that have to fail before others are probed; a single
    /// one may have crashed.
    static constexpr std::size_t min_failed_servers = 2;
    /// Shortest time between the starts of two probes.
    static constexpr core::duration probe_interval =
        std::chrono::milliseconds(500);

    /// Records that a request got no connection to the server or no response.
    void record_failure(const server_id& server, core::time_point now);

    /// Returns whether a probe is due, given the number of known servers.
    [[nodiscard]] bool
    should_probe(std::size_t known_servers, core::time_point now) const;

    void begin_probe(core::time_point now);

    /// Records how many of the probed servers accepted a connection. Returns
    /// whether this changed `are_links_lost`.
    bool end_probe(std::size_t connected);

    [[nodiscard]] bool are_links_lost() const noexcept
    {
        return are_links_lost_;
    }

private:
    [[nodiscard]] std::size_t failed_servers(core::time_point now) const;

    std::map<server_id, core::time_point> failures_;
    core::time_point probed_at_{};
    bool is_probing_ = false;
    bool are_links_lost_ = false;
};

} // namespace godwit::placement
