#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/event_gaps.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/server_directory.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// The gaps between events that all hosts together see at one server.
struct server_gaps
{
    server_id server;
    event_gaps gaps;
    bool is_prefilling = false; ///< Beside writing these events.

    /// The mean gap as it would be if the server read nothing.
    [[nodiscard]] std::optional<double> decode_gap_ms() const noexcept;

    friend bool operator==(const server_gaps&, const server_gaps&) = default;
};

/// The gaps at each usable server of the service, as the ledger knows them.
[[nodiscard]] std::vector<server_gaps> observed_gaps(
    const server_directory& directory,
    const load_ledger& ledger,
    const core::service_name& service,
    core::time_point now);

/// What is believed of a server's pace.
struct server_speed
{
    /// How many times slower than the median it writes; 1 unless it is slow.
    double slowness = 1.0;
    /// Since when it is tried: it was slow, and nothing has shown for a while
    /// whether it still is.
    std::optional<core::time_point> probation_since;

    friend bool operator==(const server_speed&, const server_speed&) = default;
};

/// Servers that turned slow, or are no longer slow.
struct speed_changes
{
    std::vector<server_id> slower;
    std::vector<server_id> recovered;

    friend bool
    operator==(const speed_changes&, const speed_changes&) = default;
};

/// Which backend servers write much slower than the others of their service.
///
/// Answers engines that turn slow without going down: their health checks and
/// slots look as ever, and a prompt that is read there makes every stream
/// that runs there late. Servers are compared with each other at the same
/// moment, so that a load that slows all of them makes none of them slow.
class slow_server_detector
{
public:
    /// How many times longer a step takes that also reads a part of a prompt:
    /// 7 ms to write, 8 ms to read 112 tokens.
    static constexpr double prefill_slowdown = 2.0;
    /// Times the median gap from which a server is slow. A sound one that has
    /// read a prompt a moment ago comes to `prefill_slowdown`.
    static constexpr double slow_threshold = 2.2;
    /// Below this it is quick again.
    static constexpr double recovered_threshold = 1.5;
    /// Below this a caller notices no difference between two servers.
    static constexpr double min_gap_ms = 20.0;
    /// With fewer servers that write, nobody can say which is the slow one.
    static constexpr std::size_t min_compared_servers = 4;
    /// How long a server without streams is still taken to be slow.
    static constexpr core::duration slow_retention = std::chrono::seconds(2);
    /// How long it is tried by one request at a time after that: only a
    /// stream shows whether it is quick again, and all hosts that believed so
    /// at the same moment would send theirs.
    static constexpr core::duration probation = std::chrono::seconds(10);

    /// Takes what all servers of one service show now.
    speed_changes
    compare(const std::vector<server_gaps>& seen, core::time_point now);

    [[nodiscard]] server_speed
    at(const server_id& server, core::time_point now) const;

private:
    struct slow_server
    {
        double times = 1.0;
        core::time_point seen_at;
    };

    std::map<server_id, slow_server> slow_;
};

} // namespace godwit::placement
