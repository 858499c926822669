#include <godwit/placement/copy_queue.hpp>

#include <algorithm>

namespace godwit::placement {

double
copy_priority(std::uint64_t tokens_left, const work_size& memory) noexcept
{
    return static_cast<double>(tokens_left) /
           static_cast<double>(std::max<std::uint64_t>(memory.tokens, 1));
}

copy_queue::ticket copy_queue::enqueue(const server_id& server, double urgency)
{
    const ticket held = next_++;
    lines_[server].waiting.emplace(held, urgency);
    return held;
}

bool copy_queue::is_first(const line& at, ticket held)
{
    const auto own = at.waiting.find(held);
    if (own == at.waiting.end())
        return false;
    return std::none_of(
        at.waiting.begin(), at.waiting.end(), [&own](const auto& other) {
            return other.second > own->second ||
                   (other.second == own->second && other.first < own->first);
        });
}

bool copy_queue::try_start(const server_id& server, ticket held)
{
    const auto found = lines_.find(server);
    if (found == lines_.end())
        return false;
    line& at = found->second;
    if (at.copying.size() >= max_concurrent_copies || !is_first(at, held))
        return false;
    at.waiting.erase(held);
    at.copying.insert(held);
    return true;
}

void copy_queue::end(const server_id& server, ticket held)
{
    const auto found = lines_.find(server);
    if (found == lines_.end())
        return;
    line& at = found->second;
    at.waiting.erase(held);
    at.copying.erase(held);
    if (at.waiting.empty() && at.copying.empty())
        lines_.erase(found);
}

} // namespace godwit::placement
