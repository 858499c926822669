#include <godwit/admission/announced_retries.hpp>

#include <algorithm>

namespace godwit::admission {

bool announced_retries::announce(
    const request_fingerprint& request,
    const core::service_name& service,
    core::time_point due,
    core::time_point now)
{
    if (!retries_.contains(request) && retries_.size() >= max_retries)
        expire(now);
    if (!retries_.contains(request) && retries_.size() >= max_retries)
        return false;
    retries_.insert_or_assign(request, retry{service, due});
    return true;
}

bool announced_retries::claim(
    const request_fingerprint& request, core::time_point now)
{
    const auto found = retries_.find(request);
    if (found == retries_.end())
        return false;
    const core::time_point due = found->second.due;
    if (now < due - tolerance)
        return false;
    retries_.erase(found);
    return now <= due + grace;
}

std::size_t announced_retries::count_until(
    const core::service_name& service,
    core::time_point until,
    core::time_point now) const
{
    const auto count =
        std::count_if(retries_.begin(), retries_.end(), [&](const auto& each) {
            return each.second.service == service && each.second.due > now &&
                   each.second.due <= until;
        });
    return static_cast<std::size_t>(count);
}

void announced_retries::expire(core::time_point now)
{
    std::erase_if(retries_, [now](const auto& each) {
        return now > each.second.due + grace;
    });
}

} // namespace godwit::admission
