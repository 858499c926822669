#include <godwit/entry/source_refresh.hpp>

namespace godwit::entry {

void source_refresh::begin(core::time_point now)
{
    began_at_ = now;
    lacks_table_ = true;
    lacks_servers_ = true;
}

bool source_refresh::is_pending(
    bool is_reading_table, core::time_point now) const
{
    const bool lacks_any = lacks_table_ || lacks_servers_ || is_reading_table;
    return lacks_any && began_at_ && now - *began_at_ < longest;
}

} // namespace godwit::entry
