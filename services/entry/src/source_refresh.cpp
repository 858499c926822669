#include <godwit/entry/source_refresh.hpp>

namespace godwit::entry {

void source_refresh::begin(core::time_point now)
{
    began_at_ = now;
    lacks_table_ = true;
    lacks_servers_ = true;
}

bool source_refresh::is_pending(core::time_point now) const
{
    return (lacks_table_ || lacks_servers_) && now - began_at_ < longest;
}

} // namespace godwit::entry
