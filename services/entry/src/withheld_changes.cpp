#include <godwit/entry/withheld_changes.hpp>

namespace godwit::entry {

void withheld_changes::add(
    const placement::server_id& server, core::time_point now)
{
    due_.insert_or_assign(server, now + delay);
}

std::set<placement::server_id> withheld_changes::take_due(core::time_point now)
{
    std::set<placement::server_id> taken;
    for (const auto& [server, due_at] : due_) {
        if (due_at <= now)
            taken.insert(server);
    }
    for (const placement::server_id& server : taken)
        due_.erase(server);
    return taken;
}

} // namespace godwit::entry
