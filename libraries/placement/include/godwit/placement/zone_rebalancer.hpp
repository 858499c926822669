#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/placer.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace godwit::placement {

/// What is known of a running generation when its host looks for a nearer
/// server.
struct remote_run
{
    backend_server server;
    work_size work;
    std::uint64_t tokens_left = 0; ///< That it is expected to write.
    /// When a server like its own was last seen to leave.
    std::optional<core::time_point> last_departure;

    friend bool operator==(const remote_run&, const remote_run&) = default;
};

/// Decides when a generation that runs in another zone than its host's goes
/// on in the host's zone.
///
/// Answers zones that are cut off: a stream stands still for as long as the
/// cut lasts if host and engine are on different sides of it, and callers
/// leave after some seconds. When load is high, one start in five finds no
/// room in its own zone; while it runs, room comes free there.
class zone_rebalancer
{
public:
    /// How long a run is left where it is after a look that found no room. A
    /// run lives for some eight seconds.
    static constexpr core::duration attempt_interval =
        std::chrono::milliseconds(200);
    /// A run with less left ends by itself about as soon as its copy is done.
    static constexpr std::uint64_t min_tokens_left = 64;

    /// After a server was seen to leave its runs need the links: a run that
    /// is rebalanced would hold up one that is lost otherwise. By then the
    /// first copies are done, and a link to which something is on its way is
    /// left alone anyhow.
    static constexpr core::duration departure_cooldown =
        std::chrono::seconds(1);

    explicit zone_rebalancer(core::zone_name zone) : zone_(std::move(zone)) {}

    /// Whether a look may be due at all: asked for each event of a stream, so
    /// it takes no look at the list of servers.
    [[nodiscard]] bool
    may_attempt(const core::zone_name& server_zone, core::time_point now) const
    {
        return server_zone != zone_ && now >= next_attempt_;
    }

    /// Whether it is worth looking for room in the own zone now.
    [[nodiscard]] bool
    is_due(const remote_run& run, core::time_point now) const;

    /// A look was taken, or a move failed.
    void record_attempt(core::time_point now)
    {
        next_attempt_ = now + attempt_interval;
    }

    /// What is wanted of a server in the own zone.
    [[nodiscard]] placement_request
    make_request(const routing::service& service, const work_size& work) const;

private:
    core::zone_name zone_;
    core::time_point next_attempt_{};
};

} // namespace godwit::placement
