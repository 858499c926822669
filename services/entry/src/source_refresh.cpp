#include <godwit/entry/source_refresh.hpp>

namespace godwit::entry {

void source_refresh::begin(core::time_point now)
{
    began_at_ = now;
    needs_table_ = true;
    needs_servers_ = true;
}

bool source_refresh::is_pending(
    bool is_reading_table, core::time_point now) const
{
    const bool needs_any = needs_table_ || needs_servers_ || is_reading_table;
    return needs_any && began_at_ && now - *began_at_ < max_duration;
}

} // namespace godwit::entry
