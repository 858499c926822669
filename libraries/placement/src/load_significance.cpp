#include <godwit/placement/load_significance.hpp>

#include <algorithm>

namespace godwit::placement {

namespace {

bool reaches_share(std::uint64_t used, std::uint64_t capacity)
{
    return static_cast<double>(used) >=
           significant_load_share *
               static_cast<double>(std::max<std::uint64_t>(capacity, 1));
}

} // namespace

// Copies that arrive use the server's network link, which may be full while its
// memory is not. A prompt takes the time of many events, however little memory
// it uses.
bool is_significant_elsewhere(
    const backend_server& server,
    const routing::service& service,
    const work_size& load)
{
    if (reaches_share(load.requests, server.slots))
        return true;
    if (!service.engine)
        return false;
    const std::uint64_t memory = service.engine->memory_tokens;
    return load.arriving_tokens > 0 || reaches_share(load.tokens, memory) ||
           reaches_share(load.unread_tokens, memory);
}

} // namespace godwit::placement
