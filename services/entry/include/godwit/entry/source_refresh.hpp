#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <optional>

namespace godwit::entry {

/// After a suspension the route table and the list of servers may be long
/// outdated. Says for how long requests wait until both were read again.
class source_refresh
{
public:
    /// A host whose source does not answer serves on by what it knows.
    static constexpr core::duration max_duration = std::chrono::seconds(1);

    /// The host ran again at `now`.
    void begin(core::time_point now);

    /// The newest table was read at the source.
    void record_table_read() noexcept { needs_table_ = false; }

    /// The whole list of servers was read at the source.
    void record_server_list_read() noexcept { needs_servers_ = false; }

    /// `is_reading_table`: a table came and is not in force yet.
    [[nodiscard]] bool
    is_pending(bool is_reading_table, core::time_point now) const;

private:
    std::optional<core::time_point> began_at_;
    bool needs_table_ = false;
    bool needs_servers_ = false;
};

} // namespace godwit::entry
