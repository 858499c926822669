#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <optional>

namespace godwit::entry {

/// Decides for how long requests wait after a suspension of the host until the
/// route table and the server list were read again, because both may be long
/// outdated.
class source_refresh
{
public:
    /// Maximum time that requests wait. After it, a host whose source does not
    /// respond serves requests with the table and the list that it has.
    static constexpr core::duration max_duration = std::chrono::seconds(1);

    /// Records that the host resumed at `now`.
    void begin(core::time_point now);

    /// Records that the newest table was read at the source.
    void record_table_read() noexcept { needs_table_ = false; }

    /// Records that the full list of servers was read at the source.
    void record_server_list_read() noexcept { needs_servers_ = false; }

    /// Returns whether requests have to wait. `is_reading_table` says that a
    /// received table is not active yet.
    [[nodiscard]] bool
    is_pending(bool is_reading_table, core::time_point now) const;

private:
    std::optional<core::time_point> began_at_;
    bool needs_table_ = false;
    bool needs_servers_ = false;
};

} // namespace godwit::entry
