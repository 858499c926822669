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
    static constexpr core::duration longest = std::chrono::seconds(1);

    /// The host ran again at `now`.
    void begin(core::time_point now);

    /// The newest table was read at the source.
    void table_was_read() noexcept { lacks_table_ = false; }

    /// The whole list of servers was read at the source.
    void servers_were_read() noexcept { lacks_servers_ = false; }

    /// `is_reading_table`: a table came and is not in force yet.
    [[nodiscard]] bool
    is_pending(bool is_reading_table, core::time_point now) const;

private:
    std::optional<core::time_point> began_at_;
    bool lacks_table_ = false;
    bool lacks_servers_ = false;
};

} // namespace godwit::entry
