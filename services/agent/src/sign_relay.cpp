#include "sign_relay.hpp"

namespace godwit::agent {

bool sign_relay::is_news(const wire::server_sign& sign, core::time_point now)
{
    forget_old(now);
    if (std::chrono::milliseconds(sign.age_ms) > oldest_sign)
        return false;
    const key about(sign.address, sign.kind);
    if (!passed_.emplace(about, now).second)
        return false;
    by_age_.emplace_back(now, about);
    return true;
}

void sign_relay::forget_old(core::time_point now)
{
    while (!by_age_.empty() && (now - by_age_.front().first >= quiet_time ||
                                by_age_.size() >= remembered_limit)) {
        passed_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
}

} // namespace godwit::agent
