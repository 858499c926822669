#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/server_directory.hpp>

#include <chrono>
#include <optional>

namespace godwit::entry {

/// Tracks outages of the source of the server list, to interpret entries that
/// disappear from the list. They may have expired because the source was
/// unavailable, or the source may have lost them. If only this host was cut off
/// from the source, neither holds: while the source serves other hosts, it
/// drops no entry of a live server.
class server_list_outage
{
public:
    /// Time after this host lost the source during which other hosts may still
    /// report that they read the list although they lost it too: the time that
    /// their pending reads may take to fail.
    static constexpr core::duration loss_detection_time =
        std::chrono::milliseconds(2600);
    /// Other hosts may notice the source's recovery earlier than this host by
    /// up to this time.
    static constexpr core::duration recovery_detection_skew =
        std::chrono::milliseconds(800);
    /// Time after the source's recovery during which entries that expired in
    /// the outage may still be reported as dropped.
    static constexpr core::duration recovery_period = std::chrono::seconds(4);

    /// Sets whether this host can read the list.
    void set_current(bool is_current, core::time_point now);

    /// Records that the source restarted from an older copy of the list;
    /// servers whose entries are missing from it register again.
    void record_restore(core::time_point now);

    /// Records that a neighbour reported that it reads the list.
    void record_neighbour_read(core::time_point now);

    [[nodiscard]] bool is_current() const noexcept { return is_current_; }

    /// Returns how to interpret an entry that is dropped at `now`.
    [[nodiscard]] placement::source_state state_at(core::time_point now) const;

private:
    bool is_current_ = false;
    std::optional<core::time_point> lost_at_;
    /// The first report during the outage which proves that other hosts were
    /// served.
    std::optional<core::time_point> others_served_since_;
    core::time_point recovering_until_{};
};

} // namespace godwit::entry
