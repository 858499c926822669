#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <map>
#include <set>

namespace godwit::entry {

/// Changes of servers that this host read for its cell. The primary reader
/// tells the other cells of them; this host does so only if it has not heard of
/// a change from there after a moment.
class withheld_changes
{
public:
    /// Time in which a change that the primary reader read reaches this host.
    static constexpr core::duration delay = std::chrono::milliseconds(250);

    /// Adds a change that this host read.
    void add(const placement::server_id& server, core::time_point now);

    /// Records that the other cells know of the change.
    void remove(const placement::server_id& server) { due_.erase(server); }

    /// Returns and removes the servers whose changes have to be sent now.
    [[nodiscard]] std::set<placement::server_id> take_due(core::time_point now);

private:
    std::map<placement::server_id, core::time_point> due_;
};

} // namespace godwit::entry
