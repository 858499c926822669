#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/placer.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace godwit::placement {

/// A running generation that may be rebalanced to its host's zone.
struct remote_run
{
    backend_server server;
    work_size work;
    std::uint64_t remaining_tokens = 0; ///< Expected remaining output.
    /// When a server of the same service was last seen to start draining.
    std::optional<core::time_point> last_departure;

    friend bool operator==(const remote_run&, const remote_run&) = default;
};

/// Decides when a generation that runs in another zone than its host is
/// migrated to the host's zone.
///
/// This limits the effect of network partitions between zones: a stream stalls
/// while host and engine are partitioned, and callers disconnect after some
/// seconds. Under high load one start in five gets no capacity in its own
/// zone, but capacity becomes free there while it runs.
class zone_rebalancer
{
public:
    /// Time between two attempts for one run. A run takes about eight seconds.
    static constexpr core::duration attempt_interval =
        std::chrono::milliseconds(200);
    /// A run with fewer remaining tokens ends at about the time when its copy
    /// would be complete.
    static constexpr std::uint64_t min_remaining_tokens = 64;

    /// How long runs are not rebalanced after a server was seen to drain: its
    /// runs need the network links between servers, and the copy of a
    /// rebalanced run would delay that of a run which is lost unless it is
    /// copied in time. After this time the first copies are done; servers that
    /// are still receiving copies are not used for rebalancing anyway.
    static constexpr core::duration departure_cooldown =
        std::chrono::seconds(1);

    explicit zone_rebalancer(core::zone_name zone) : zone_(std::move(zone)) {}

    /// Whether an attempt may be due. This is called for each event of a
    /// stream, so that it does not search the server list.
    [[nodiscard]] bool
    may_attempt(const core::zone_name& server_zone, core::time_point now) const
    {
        return server_zone != zone_ && now >= next_attempt_;
    }

    /// Whether to try to migrate the run to the own zone now.
    [[nodiscard]] bool
    is_due(const remote_run& run, core::time_point now) const;

    /// Records a search for a server, or a migration that failed.
    void record_attempt(core::time_point now)
    {
        next_attempt_ = now + attempt_interval;
    }

    /// Returns the placement request for a server in the own zone.
    [[nodiscard]] placement_request
    make_request(const routing::service& service, const work_size& work) const;

private:
    core::zone_name zone_;
    core::time_point next_attempt_{};
};

} // namespace godwit::placement
