#include <godwit/fakes/host_list.hpp>

#include <utility>

namespace godwit::fakes {

namespace {

constexpr core::duration longest_lag = std::chrono::minutes(10);
constexpr std::size_t versions_kept = 1024;

} // namespace

void host_list::put(
    const std::string& address, std::string json, core::time_point now)
{
    hosts content = newest();
    content[address] = std::move(json);
    change(std::move(content), now);
}

bool host_list::remove(const std::string& address, core::time_point now)
{
    hosts content = newest();
    if (content.erase(address) == 0)
        return false;
    change(std::move(content), now);
    return true;
}

host_list::hosts host_list::view(core::time_point now, core::duration lag) const
{
    hosts seen;
    for (const version& candidate : versions_) {
        if (candidate.since > now - lag)
            break;
        seen = candidate.content;
    }
    return seen;
}

void host_list::change(hosts content, core::time_point now)
{
    versions_.push_back(version{now, std::move(content)});
    while (versions_.size() > 1 && (versions_[1].since < now - longest_lag ||
                                    versions_.size() > versions_kept))
        versions_.pop_front();
}

host_list::hosts host_list::newest() const
{
    return versions_.empty() ? hosts() : versions_.back().content;
}

} // namespace godwit::fakes
