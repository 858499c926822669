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

/// The gaps between events at one server, observed by all hosts together.
struct server_gaps
{
    server_id server;
    event_gaps gaps;
    /// Whether the server prefills prompts while it sends these events.
    bool is_prefilling = false;

    /// The mean gap that the server would have without prefill.
    [[nodiscard]] std::optional<double> decode_gap_ms() const noexcept;

    friend bool operator==(const server_gaps&, const server_gaps&) = default;
};

/// Returns the gaps at each usable server of the service that has work, as
/// reported to the ledger.
[[nodiscard]] std::vector<server_gaps> observed_gaps(
    const server_directory& directory,
    const load_ledger& ledger,
    const core::service_name& service,
    core::time_point now);

/// The estimated speed of a server.
struct server_speed
{
    /// The factor by which it decodes slower than the median; 1 unless it is
    /// slow.
    double slowness = 1.0;
    /// When its probation started: it was slow, and no streams have shown since
    /// whether it still is.
    std::optional<core::time_point> probation_since;

    friend bool operator==(const server_speed&, const server_speed&) = default;
};

/// Servers that became slow or recovered.
struct speed_changes
{
    std::vector<server_id> slower;
    std::vector<server_id> recovered;

    friend bool
    operator==(const speed_changes&, const speed_changes&) = default;
};

/// Detects backend servers that decode much slower than the others of their
/// service.
///
/// An engine may become slow without failing: its health checks and slots look
/// normal, but a prompt that is prefilled there makes all of its streams late.
/// Servers are compared with each other at the same time, so that a load that
/// slows down all of them marks none as slow.
class slow_server_detector
{
public:
    /// The factor by which a step takes longer that also prefills a part of a
    /// prompt: 7 ms to decode, 8 ms to prefill 112 tokens.
    static constexpr double prefill_slowdown = 2.0;
    /// The multiple of the median gap from which a server is slow. A normal
    /// one that has just prefilled a prompt reaches `prefill_slowdown`.
    static constexpr double slow_threshold = 2.2;
    /// The multiple of the median gap below which a slow server has recovered.
    static constexpr double recovered_threshold = 1.5;
    /// The lower bound of the median gap in comparisons: callers notice no
    /// difference between servers with shorter gaps.
    static constexpr double min_gap_ms = 20.0;
    /// The minimum number of decoding servers for a comparison: among fewer,
    /// the slow server cannot be identified.
    static constexpr std::size_t min_compared_servers = 4;
    /// How long a server without streams still counts as slow.
    static constexpr core::duration slow_retention = std::chrono::seconds(2);
    /// How long a slow server gets one request at a time after
    /// `slow_retention`: only a stream shows whether it has recovered, and
    /// without this limit all hosts would send their requests at the same time.
    static constexpr core::duration probation = std::chrono::seconds(10);

    /// Compares the current gaps of all servers of one service. Returns the
    /// servers that changed.
    speed_changes
    compare(const std::vector<server_gaps>& observed, core::time_point now);

    [[nodiscard]] server_speed
    at(const server_id& server, core::time_point now) const;

private:
    struct slow_server
    {
        double factor = 1.0;
        core::time_point last_seen_at;
    };

    std::map<server_id, slow_server> slow_;
};

} // namespace godwit::placement
