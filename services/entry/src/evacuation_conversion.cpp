#include <godwit/entry/evacuation_conversion.hpp>

namespace godwit::entry {

wire::zone_evacuations
to_wire(const std::vector<placement::zone_evacuation>& changes)
{
    wire::zone_evacuations message;
    message.zones.reserve(changes.size());
    for (const placement::zone_evacuation& change : changes)
        message.zones.push_back(
            {change.zone,
             change.is_evacuated,
             change.revision.epoch,
             change.revision.sequence});
    return message;
}

std::vector<placement::zone_evacuation>
from_wire(const wire::zone_evacuations& message)
{
    std::vector<placement::zone_evacuation> changes;
    changes.reserve(message.zones.size());
    for (const wire::zone_evacuation& received : message.zones) {
        if (!received.zone.empty())
            changes.push_back(
                {received.zone,
                 received.evacuated,
                 {received.epoch, received.sequence}});
    }
    return changes;
}

} // namespace godwit::entry
