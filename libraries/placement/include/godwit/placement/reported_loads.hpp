#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/effective_load.hpp>
#include <godwit/placement/reported_load.hpp>
#include <godwit/placement/statement_half_life.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// Which host received a load statement from the server.
enum class statement_origin
{
    own,
    neighbour,
};

/// The last load statement of each backend server. A statement loses weight
/// with its age, the faster the more often the server's statements change.
class reported_loads
{
public:
    /// The maximum number of servers; beyond it, the server with the oldest
    /// statement is removed.
    static constexpr std::size_t max_servers = 4096;
    /// The weight below which a statement no longer counts.
    static constexpr double min_weight = 1.0 / 16;
    /// How long statements of neighbours are ignored after a suspension: those
    /// that arrived meanwhile wait in the connections' buffers.
    static constexpr core::duration resumption_time =
        std::chrono::milliseconds(500);

    /// Applies a statement, unless a newer one is known or it was requested
    /// before a suspension. Returns whether it was applied.
    bool update(
        const reported_load& load,
        statement_origin origin,
        core::time_point now);

    /// Removes the statement of a server that left or restarted.
    void forget(const server_id& server);

    /// Removes all statements and ignores those requested before `now`, when
    /// this host resumed from a suspension.
    void clear(core::time_point now);

    /// Returns what the server's statement says at `now`; nothing if there is
    /// none or it is too old.
    [[nodiscard]] std::optional<effective_load>
    at(const server_id& server, core::time_point now) const;

    /// Returns the statements that this host received itself, ordered by
    /// server, except those that no longer count.
    [[nodiscard]] std::vector<reported_load> own(core::time_point now) const;

    /// Returns the server's half-life; nothing if it has no statement.
    [[nodiscard]] std::optional<core::duration>
    half_life(const server_id& server) const;

    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry
    {
        reported_load load;
        statement_origin origin = statement_origin::own;
        statement_half_life half_life;
    };

    [[nodiscard]] static double
    weight_of(const entry& found, core::time_point now);
    void make_room();

    std::map<server_id, entry> entries_;
    std::optional<core::time_point> resumed_at_;
};

} // namespace godwit::placement
