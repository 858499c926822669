#include <godwit/placement/work_size.hpp>

#include <algorithm>

namespace godwit::placement {

work_size& work_size::operator+=(const work_size& more) noexcept
{
    requests += more.requests;
    tokens += more.tokens;
    unread_tokens += more.unread_tokens;
    arriving_tokens += more.arriving_tokens;
    gaps += more.gaps;
    return *this;
}

work_size& work_size::operator-=(const work_size& less) noexcept
{
    requests -= std::min(requests, less.requests);
    tokens -= std::min(tokens, less.tokens);
    unread_tokens -= std::min(unread_tokens, less.unread_tokens);
    arriving_tokens -= std::min(arriving_tokens, less.arriving_tokens);
    gaps -= less.gaps;
    return *this;
}

} // namespace godwit::placement
