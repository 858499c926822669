#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/server_directory.hpp>

#include <chrono>
#include <optional>

namespace godwit::entry {

/// Tells whether entries that the list of servers dropped may have lapsed
/// because its source was away or lost them, or only this host was cut off from
/// it. While the source serves others it drops nobody that lives.
class server_list_outage
{
public:
    /// After a loss others may still say for this long that they read the
    /// list: as long as their own pending read may take to fail.
    static constexpr core::duration loss_detection_time =
        std::chrono::milliseconds(2600);
    /// Others may notice the source's return this much earlier.
    static constexpr core::duration recovery_detection_skew =
        std::chrono::milliseconds(800);
    /// Entries that lapsed show as dropped this long after the return.
    static constexpr core::duration recovery_period = std::chrono::seconds(4);

    /// This host reads the list, or cannot.
    void set_current(bool is_current, core::time_point now);

    /// The source restarted from an older copy: servers whose entries it lost
    /// list themselves again.
    void record_restore(core::time_point now);

    /// A neighbour said that it reads the list.
    void record_neighbour_read(core::time_point now);

    [[nodiscard]] bool is_current() const noexcept { return is_current_; }

    /// How to take an entry that is dropped now.
    [[nodiscard]] placement::source_state state_at(core::time_point now) const;

private:
    bool is_current_ = false;
    std::optional<core::time_point> lost_at_;
    /// The first word of the outage that proves that others were served.
    std::optional<core::time_point> others_served_at_;
    core::time_point recovering_until_{};
};

} // namespace godwit::entry
