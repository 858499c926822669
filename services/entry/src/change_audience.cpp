#include <godwit/entry/change_audience.hpp>

namespace godwit::entry {

// Each host receives a change once: the primary reader sends it to its
// neighbours, of which those in other cells send it to their own cells. Each
// cell also has a reader of its own, which sends it to its cell if no other
// cell did. If every host sent it to all of its neighbours, a change would take
// as many messages as the fleet has links. What a host of the cell sends may
// not reach hosts that the sender does not know yet; a reader that serves them
// passes it on.
std::optional<audience>
change_audience(change_origin origin, reader_role role) noexcept
{
    switch (origin) {
    case change_origin::own:
        return role == reader_role::primary ? audience::all
                                            : audience::served_hosts;
    case change_origin::own_cell:
        if (role == reader_role::none)
            return std::nullopt;
        return audience::settling_hosts;
    case change_origin::other_cell:
        return audience::served_hosts;
    }
    return std::nullopt;
}

} // namespace godwit::entry
