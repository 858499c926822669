#include <godwit/queueing/organisation_usage.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::queueing {

namespace {

// Work that is held counts for this time ahead, so that a start shows in the
// order at once. Without it, all slots that become free together would go to
// the organisation that had used the least.
constexpr double held_ahead_s = 1.0;
// Work below this, in token seconds, does not change the order: one short run
// holds some thousand tokens for about a second.
constexpr double negligible_work = 1.0;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

// The integral of the held tokens, decayed over the time that passed.
void organisation_usage::advance(account& changed, core::time_point now)
{
    if (now <= changed.updated_at)
        return;
    const double rate = std::log(2.0) / seconds(half_life);
    const double kept = std::exp(-rate * seconds(now - changed.updated_at));
    const auto held = static_cast<double>(changed.held_tokens);
    changed.used = changed.used * kept + held * (1.0 - kept) / rate;
    changed.updated_at = now;
}

double organisation_usage::work_of(account found, core::time_point now)
{
    advance(found, now);
    return found.used + held_ahead_s * static_cast<double>(found.held_tokens);
}

void organisation_usage::begin(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    if (accounts_.size() >= max_organisations)
        drop_unused(now);
    if (accounts_.size() >= max_organisations &&
        accounts_.find(organisation) == accounts_.end())
        return;
    account& changed = accounts_.try_emplace(organisation).first->second;
    advance(changed, now);
    changed.updated_at = now;
    changed.held_tokens += tokens;
}

void organisation_usage::end(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end())
        return;
    advance(found->second, now);
    found->second.held_tokens -= std::min(found->second.held_tokens, tokens);
}

std::vector<organisation_work>
organisation_usage::most_used(std::size_t count, core::time_point now) const
{
    std::vector<organisation_work> all;
    for (const auto& [organisation, found] : accounts_) {
        const double work = work_of(found, now);
        if (work >= negligible_work)
            all.push_back({organisation, work});
    }
    std::stable_sort(
        all.begin(), all.end(), [](const auto& left, const auto& right) {
            return left.work > right.work;
        });
    if (all.size() > count)
        all.resize(count);
    return all;
}

void organisation_usage::drop_unused(core::time_point now)
{
    std::erase_if(accounts_, [now](const auto& each) {
        return work_of(each.second, now) < negligible_work;
    });
}

} // namespace godwit::queueing
