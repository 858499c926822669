#include <godwit/entry/stream_registry.hpp>

#include <algorithm>

namespace godwit::entry {

void stream_registry::add(
    const placement::server_id& server, running_stream& stream)
{
    streams_[server].insert(&stream);
}

void stream_registry::remove(
    const placement::server_id& server, running_stream& stream)
{
    const auto found = streams_.find(server);
    if (found == streams_.end())
        return;
    found->second.erase(&stream);
    if (found->second.empty())
        streams_.erase(found);
}

std::vector<running_stream*>
stream_registry::streams_at(const placement::server_id& server) const
{
    const auto found = streams_.find(server);
    if (found == streams_.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

void stream_registry::notify_draining(const placement::server_id& server)
{
    for (running_stream* stream : streams_at(server))
        stream->on_server_draining();
}

void stream_registry::notify_restarted(const placement::server_id& server)
{
    for (running_stream* stream : streams_at(server))
        stream->on_server_restarted();
}

void stream_registry::notify_routes_changed()
{
    for (const placement::server_id& server : servers()) {
        for (running_stream* stream : streams_at(server))
            stream->on_routes_changed();
    }
}

std::vector<placement::server_id> stream_registry::unresponsive_servers(
    core::duration idle_limit, core::time_point now) const
{
    std::vector<placement::server_id> unresponsive;
    for (const auto& [server, streams] : streams_) {
        const bool all_idle = std::all_of(
            streams.begin(),
            streams.end(),
            [idle_limit, now](const running_stream* stream) {
                return stream->idle_time(now) >= idle_limit;
            });
        if (all_idle)
            unresponsive.push_back(server);
    }
    return unresponsive;
}

std::vector<const routed_call*> stream_registry::sustained_calls() const
{
    std::vector<const routed_call*> calls;
    for (const auto& [server, streams] : streams_) {
        for (const running_stream* stream : streams) {
            if (const routed_call* call = stream->sustained_call())
                calls.push_back(call);
        }
    }
    return calls;
}

std::vector<placement::server_id> stream_registry::servers() const
{
    std::vector<placement::server_id> running;
    running.reserve(streams_.size());
    for (const auto& [server, streams] : streams_)
        running.push_back(server);
    return running;
}

std::size_t stream_registry::size() const noexcept
{
    std::size_t count = 0;
    for (const auto& [server, streams] : streams_)
        count += streams.size();
    return count;
}

} // namespace godwit::entry
