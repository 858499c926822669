#include <godwit/placement/copy_queue.hpp>

#include <algorithm>

namespace godwit::placement {

double
copy_priority(std::uint64_t remaining_tokens, const work_size& memory) noexcept
{
    return static_cast<double>(remaining_tokens) /
           static_cast<double>(std::max<std::uint64_t>(memory.tokens, 1));
}

copy_queue::ticket copy_queue::enqueue(const server_id& server, double priority)
{
    const ticket copy = next_ticket_++;
    queues_[server].waiting.emplace(copy, priority);
    return copy;
}

bool copy_queue::is_next(const server_queue& queue, ticket copy)
{
    const auto own = queue.waiting.find(copy);
    if (own == queue.waiting.end())
        return false;
    return std::none_of(
        queue.waiting.begin(), queue.waiting.end(), [&own](const auto& other) {
            return other.second > own->second ||
                   (other.second == own->second && other.first < own->first);
        });
}

bool copy_queue::try_start(const server_id& server, ticket copy)
{
    const auto found = queues_.find(server);
    if (found == queues_.end())
        return false;
    server_queue& queue = found->second;
    if (queue.copying.size() >= max_concurrent_copies || !is_next(queue, copy))
        return false;
    queue.waiting.erase(copy);
    queue.copying.insert(copy);
    return true;
}

void copy_queue::finish(const server_id& server, ticket copy)
{
    const auto found = queues_.find(server);
    if (found == queues_.end())
        return;
    server_queue& queue = found->second;
    queue.waiting.erase(copy);
    queue.copying.erase(copy);
    if (queue.waiting.empty() && queue.copying.empty())
        queues_.erase(found);
}

} // namespace godwit::placement
