#include <godwit/fakes/prefix_cache.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>

namespace godwit::fakes {

namespace {

constexpr std::size_t events_kept = 1024;
constexpr std::uint64_t one_lost_in = 16;

} // namespace

std::uint64_t prefix_cache::prefix_hash(std::string_view prompt)
{
    return core::stable_hash(prompt.substr(0, prefix_bytes));
}

bool prefix_cache::use(std::string_view prompt)
{
    const std::uint64_t hash = prefix_hash(prompt);
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), hash);
    if (found != prefixes_.end()) {
        prefixes_.splice(prefixes_.begin(), prefixes_, found);
        return true;
    }
    prefixes_.push_front(hash);
    publish(hash, cache_action::stored);
    if (prefixes_.size() > capacity_) {
        publish(prefixes_.back(), cache_action::evicted);
        prefixes_.pop_back();
    }
    return false;
}

std::vector<cache_event> prefix_cache::events_from(std::uint64_t sequence) const
{
    std::vector<cache_event> found;
    for (const cache_event& event : events_) {
        if (event.sequence >= sequence)
            found.push_back(event);
    }
    return found;
}

void prefix_cache::publish(std::uint64_t hash, cache_action action)
{
    const std::uint64_t sequence = next_sequence_++;
    if (draw_.below(one_lost_in) == 0)
        return;
    events_.push_back(cache_event{sequence, hash, action});
    if (events_.size() > events_kept)
        events_.pop_front();
}

} // namespace godwit::fakes
