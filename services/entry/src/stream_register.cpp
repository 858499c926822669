#include <godwit/entry/stream_register.hpp>

#include <algorithm>

namespace godwit::entry {

void stream_register::add(
    const placement::server_id& server, running_stream& stream)
{
    streams_[server].insert(&stream);
}

void stream_register::remove(
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
stream_register::streams_at(const placement::server_id& server) const
{
    const auto found = streams_.find(server);
    if (found == streams_.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

void stream_register::server_leaves(const placement::server_id& server)
{
    for (running_stream* stream : streams_at(server))
        stream->server_leaves();
}

void stream_register::server_restarted(const placement::server_id& server)
{
    for (running_stream* stream : streams_at(server))
        stream->server_restarted();
}

std::vector<placement::server_id>
stream_register::silent_servers(core::duration span, core::time_point now) const
{
    std::vector<placement::server_id> silent;
    for (const auto& [server, streams] : streams_) {
        const bool are_silent = std::all_of(
            streams.begin(),
            streams.end(),
            [span, now](const running_stream* stream) {
                return stream->silence(now) >= span;
            });
        if (are_silent)
            silent.push_back(server);
    }
    return silent;
}

std::vector<placement::server_id> stream_register::servers() const
{
    std::vector<placement::server_id> running;
    running.reserve(streams_.size());
    for (const auto& [server, streams] : streams_)
        running.push_back(server);
    return running;
}

std::size_t stream_register::size() const noexcept
{
    std::size_t count = 0;
    for (const auto& [server, streams] : streams_)
        count += streams.size();
    return count;
}

} // namespace godwit::entry
