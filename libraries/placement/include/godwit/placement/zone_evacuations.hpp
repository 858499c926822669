#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// Orders the changes of evacuations.
struct evacuation_revision
{
    /// Increases when the source restarts from an older copy.
    std::uint64_t epoch = 0;
    /// Position in the source's sequence of changes; may decrease with a new
    /// epoch.
    std::uint64_t sequence = 0;

    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto operator<=>(
        const evacuation_revision&, const evacuation_revision&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/// Whether an availability zone is evacuated: its servers get no requests.
struct zone_evacuation
{
    core::zone_name zone;
    bool is_evacuated = false;
    evacuation_revision revision; ///< Of the change that led to this state.

    friend bool
    operator==(const zone_evacuation&, const zone_evacuation&) = default;
};

/// The evacuated availability zones, as their source and other hosts report
/// them. A later revision of a zone replaces an earlier one, whichever way it
/// arrives.
///
/// A source that restarted from an older copy may lack an evacuation that is in
/// force. Such an evacuation stays in force for `restore_grace`, within which
/// its operator repeats it.
class zone_evacuations
{
public:
    static constexpr core::duration restore_grace = std::chrono::seconds(6);
    /// Time after its start within which a zone still accepts a run that has
    /// stopped elsewhere and whose KV cache is nowhere else.
    static constexpr core::duration resumption_grace =
        std::chrono::milliseconds(1000);
    /// Bounds the memory, since the zones are named by other processes.
    static constexpr std::size_t max_zones = 256;

    /// Applies a change from the source. Returns whether it is news.
    bool update(const zone_evacuation& change, core::time_point now);

    /// Applies a change from another host, which may be older than what this
    /// host has read from the source. Returns whether it is news.
    bool update_from_neighbour(
        const zone_evacuation& received, core::time_point now);

    /// Applies the source's complete list of evacuations as of `revision`.
    /// Returns the changes, except those that `restore_grace` delays.
    std::vector<zone_evacuation> apply_snapshot(
        const std::vector<zone_evacuation>& listed,
        evacuation_revision revision,
        core::time_point now);

    /// Ends the evacuations whose grace is over and returns them.
    [[nodiscard]] std::vector<zone_evacuation> expire(core::time_point now);

    [[nodiscard]] bool is_evacuated(const core::zone_name& zone) const;

    /// Whether a run whose KV cache only the zone has may resume there.
    [[nodiscard]] bool
    may_resume(const core::zone_name& zone, core::time_point now) const;

    /// When the zone's last evacuation ended; empty if it had none, or has one.
    [[nodiscard]] std::optional<core::time_point>
    ended_at(const core::zone_name& zone) const;

    /// Returns the last known change of every zone, also of those that are not
    /// evacuated any more.
    [[nodiscard]] std::vector<zone_evacuation> changes() const;

    /// Returns the number of zones that are evacuated.
    [[nodiscard]] std::size_t count() const;

private:
    struct entry
    {
        zone_evacuation last;
        core::time_point changed_at;
        /// When a restored source was found to lack the evacuation.
        std::optional<core::time_point> missing_since;
    };

    bool apply(const zone_evacuation& change, core::time_point now);
    /// Ends the zone's evacuation and returns the change.
    static zone_evacuation
    end(entry& known, evacuation_revision revision, core::time_point now);
    void discard_oldest_ended();

    std::map<core::zone_name, entry> zones_;
    /// The source was read completely up to here.
    evacuation_revision read_up_to_;
};

} // namespace godwit::placement
