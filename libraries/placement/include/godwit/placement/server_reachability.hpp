#pragma once

#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace godwit::placement {

/// To which backend servers this host can open connections itself. Failures at
/// several servers cause a probe of some others; only when all of these fail as
/// well has the host lost its links to all servers.
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

    /// Time for which a failed connection counts, unless a probe succeeds.
    static constexpr core::duration detour_lifetime = std::chrono::seconds(10);
    /// Time between two probes of a server to which a connection failed.
    static constexpr core::duration detour_probe_interval =
        std::chrono::seconds(1);

    /// Records that a connection to the server failed.
    void
    record_connect_failure(const http::endpoint& server, core::time_point now);

    /// Records that a connection to the server was opened.
    void record_connected(const http::endpoint& server);

    /// Returns whether connections to the server should go through neighbours.
    [[nodiscard]] bool
    needs_detour(const http::endpoint& server, core::time_point now) const;

    /// Returns the servers to which a connection should be tried now.
    [[nodiscard]] std::vector<http::endpoint>
    take_due_detours(core::time_point now);

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

    struct detour
    {
        core::time_point failed_at;
        core::time_point probed_at;
    };

    std::map<http::endpoint, detour> detours_;
    std::map<server_id, core::time_point> failures_;
    core::time_point probed_at_{};
    bool is_probing_ = false;
    bool are_links_lost_ = false;
};

} // namespace godwit::placement
