#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/running_stream.hpp>
#include <godwit/placement/backend_server.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace godwit::entry {

/// Running streams by backend server. Used on one executor.
class stream_registry
{
public:
    void add(const placement::server_id& server, running_stream& stream);
    void remove(const placement::server_id& server, running_stream& stream);

    /// Notifies each stream at the server that the server is draining.
    void notify_draining(const placement::server_id& server);

    /// Notifies each stream at the server that the server restarted.
    void notify_restarted(const placement::server_id& server);

    /// Notifies each stream that another version of the route table is in
    /// force.
    void notify_routes_changed();

    /// Returns the servers from which no stream of this host has received
    /// anything for `idle_limit`: they hang or cannot be reached, even if they
    /// are still listed. A server with one idle stream among active ones is not
    /// returned, since that stream was only preempted for a while.
    [[nodiscard]] std::vector<placement::server_id>
    unresponsive_servers(core::duration idle_limit, core::time_point now) const;

    /// Returns the requests whose responses have been written for some time;
    /// see `running_stream::sustained_call`.
    [[nodiscard]] std::vector<const routed_call*> sustained_calls() const;

    /// Returns the servers that run streams.
    [[nodiscard]] std::vector<placement::server_id> servers() const;

    [[nodiscard]] std::size_t size() const noexcept;

private:
    /// Returns a copy, since notified streams may change the registry.
    [[nodiscard]] std::vector<running_stream*>
    streams_at(const placement::server_id& server) const;

    std::map<placement::server_id, std::set<running_stream*>> streams_;
};

} // namespace godwit::entry
