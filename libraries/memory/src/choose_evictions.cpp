#include <godwit/memory/choose_evictions.hpp>

#include <algorithm>
#include <optional>

namespace godwit::memory {

namespace {

// The order in which holders end, by what their clients lose.
enum class rank
{
    refused,        ///< Nothing; the refusal is on its way.
    stalled_sender, ///< A request that has not run and has stopped arriving.
    idle,           ///< A connection without a request.
    slow_reader,    ///< A response that its client hardly takes.
    larger_sender,  ///< A request that has not run, larger than the requester.
};

struct candidate
{
    rank order;
    holding what;
};

std::optional<rank> rank_of(
    const holding& one,
    const holding& requester,
    const account_limits& limits,
    core::time_point now)
{
    const bool is_stalled = now - one.since >= limits.stall_time;
    switch (one.doing) {
    case activity::closing:
        return rank::refused;
    case activity::idle:
        return rank::idle;
    case activity::receiving:
        if (is_stalled)
            return rank::stalled_sender;
        // A connection that brings no request yet ends none that arrives.
        if (requester.doing != activity::idle &&
            one.held.bytes > requester.held.bytes)
            return rank::larger_sender;
        return std::nullopt;
    case activity::sending:
        return is_stalled ? std::optional(rank::slow_reader) : std::nullopt;
    case activity::serving:
        // Its request may have run.
        return std::nullopt;
    }
    return std::nullopt;
}

bool ends_before(const candidate& left, const candidate& right)
{
    if (left.order != right.order)
        return left.order < right.order;
    if (left.order == rank::larger_sender &&
        left.what.held.bytes != right.what.held.bytes)
        return left.what.held.bytes > right.what.held.bytes;
    return left.what.since < right.what.since;
}

} // namespace

std::vector<std::uint64_t> choose_evictions(
    const std::vector<holding>& holdings,
    const holding& requester,
    amounts shortage,
    const account_limits& limits,
    core::time_point now)
{
    std::vector<candidate> candidates;
    for (const holding& one : holdings) {
        if (one.id == requester.id || one.held == amounts())
            continue;
        if (const auto order = rank_of(one, requester, limits, now))
            candidates.push_back({*order, one});
    }
    std::sort(candidates.begin(), candidates.end(), ends_before);
    std::vector<std::uint64_t> chosen;
    amounts freed;
    for (const candidate& next : candidates) {
        if (freed.cover(shortage))
            break;
        freed = freed + next.what.held;
        chosen.push_back(next.what.id);
    }
    if (!freed.cover(shortage))
        chosen.clear();
    return chosen;
}

} // namespace godwit::memory
