#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/running_stream.hpp>
#include <godwit/placement/backend_server.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace godwit::entry {

/// Which streams run at which backend server. Used on one executor.
class stream_registry
{
public:
    void add(const placement::server_id& server, running_stream& stream);
    void remove(const placement::server_id& server, running_stream& stream);

    /// Tells each stream at the server that it leaves.
    void notify_draining(const placement::server_id& server);

    /// Tells each stream at the server that the server began anew.
    void notify_restarted(const placement::server_id& server);

    /// The servers of which every stream of this host has been silent for
    /// `span`: they hang or are cut off, whatever the list says. One silent
    /// stream among others was pushed off for a while.
    [[nodiscard]] std::vector<placement::server_id>
    unresponsive_servers(core::duration span, core::time_point now) const;

    /// The servers that run streams.
    [[nodiscard]] std::vector<placement::server_id> servers() const;

    [[nodiscard]] std::size_t size() const noexcept;

private:
    /// A copy, since the streams may change the register while they are told.
    [[nodiscard]] std::vector<running_stream*>
    streams_at(const placement::server_id& server) const;

    std::map<placement::server_id, std::set<running_stream*>> streams_;
};

} // namespace godwit::entry
