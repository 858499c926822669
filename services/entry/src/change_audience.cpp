#include <godwit/entry/change_audience.hpp>

namespace godwit::entry {

// Each host receives a change once: the primary reader sends it to its
// neighbours, of which those in other cells send it to their own cells. Each
// cell also has a reader of its own, which sends it to its cell if no other
// cell did. If every host sent it to all of its neighbours, a change would take
// as many messages as the fleet has links.
std::optional<audience>
change_audience(change_origin origin, bool is_primary_reader) noexcept
{
    switch (origin) {
    case change_origin::own:
        return is_primary_reader ? audience::all : audience::cell;
    case change_origin::own_cell:
        return std::nullopt;
    case change_origin::other_cell:
        return audience::cell;
    }
    return std::nullopt;
}

} // namespace godwit::entry
