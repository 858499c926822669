#include "prefix_knowledge.hpp"

#include <cmath>

namespace godwit::dispatch {

void prefix_knowledge::take(const cache_changed& input)
{
    if (input.sequence < next_sequence_)
        return;
    if (input.sequence > next_sequence_)
        ++gaps_;
    next_sequence_ = input.sequence + 1;
    const auto found = entries_.find(input.prefix_hash);
    if (found != entries_.end()) {
        recent_.erase(found->second);
        entries_.erase(found);
    }
    if (input.action == cache_action::evicted)
        return;
    recent_.push_back({.prefix_hash = input.prefix_hash, .gaps_before = gaps_});
    entries_.emplace(input.prefix_hash, std::prev(recent_.end()));
    if (entries_.size() <= max_prefixes)
        return;
    entries_.erase(recent_.front().prefix_hash);
    recent_.pop_front();
}

double prefix_knowledge::confidence(std::uint64_t prefix_hash) const
{
    const auto found = entries_.find(prefix_hash);
    if (found == entries_.end())
        return 0.0;
    constexpr double kept_at_gap = 0.5;
    const std::uint64_t gaps = gaps_ - found->second->gaps_before;
    return std::pow(kept_at_gap, static_cast<double>(gaps));
}

} // namespace godwit::dispatch
