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
    /// the outage may still be reported as dropped: live servers are listed
    /// again within two seconds.
    static constexpr core::duration recovery_period = std::chrono::seconds(2);
    /// Time after the end of an outage from which on an entry that the source
    /// drops belongs to a server that leaves.
    static constexpr core::duration stability_time = std::chrono::seconds(3);
    /// Shortest recovery, in which this host applies the list as it was read
    /// when the source recovered.
    static constexpr core::duration min_recovery_period =
        std::chrono::milliseconds(100);

    /// Sets whether this host can read the list.
    void set_current(bool is_current, core::time_point now);

    /// Records that a read that began at `began_at` failed: the outage lasted
    /// at least until then.
    void record_failed_read(core::time_point began_at)
    {
        failed_read_began_at_ = began_at;
    }

    /// Records that the source restarted from an older copy of the list;
    /// servers whose entries are missing from it register again.
    void record_restore(core::time_point now);

    /// Records that a neighbour reported that it reads the list.
    void record_neighbour_read(core::time_point now);

    [[nodiscard]] bool is_current() const noexcept { return is_current_; }

    /// Returns how to interpret an entry that is dropped at `now`.
    [[nodiscard]] placement::source_state state_at(core::time_point now) const;

private:
    [[nodiscard]] core::time_point
    end_of_recovery(core::time_point recovered_at) const;

    bool is_current_ = false;
    std::optional<core::time_point> lost_at_;
    /// The first report during the outage which proves that other hosts were
    /// served.
    std::optional<core::time_point> others_served_since_;
    std::optional<core::time_point> failed_read_began_at_; ///< The latest one.
    core::time_point recovering_until_{};
};

} // namespace godwit::entry
