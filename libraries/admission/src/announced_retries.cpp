#include <godwit/admission/announced_retries.hpp>

namespace godwit::admission {

bool announced_retries::announce(
    const announced_retry& retry, core::time_point now)
{
    if (!retries_.contains(retry.request) && retries_.size() >= max_retries)
        expire(now);
    if (!retries_.contains(retry.request) && retries_.size() >= max_retries)
        return false;
    retries_.insert_or_assign(retry.request, retry);
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

work_amount announced_retries::work_until(
    const core::service_name& service,
    int order,
    core::time_point until,
    core::time_point now) const
{
    work_amount work;
    for (const auto& [request, each] : retries_) {
        const bool is_ahead = each.service == service && each.order <= order &&
                              each.due > now && each.due <= until;
        if (is_ahead)
            work += {1, each.tokens};
    }
    return work;
}

void announced_retries::expire(core::time_point now)
{
    std::erase_if(retries_, [now](const auto& each) {
        return now > each.second.due + grace;
    });
}

} // namespace godwit::admission
