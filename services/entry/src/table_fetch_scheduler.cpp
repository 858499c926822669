#include <godwit/entry/table_fetch_scheduler.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <tuple>

namespace godwit::entry {

namespace {

// How often the timeout doubles at most: it grows up to eight times the first
// one.
constexpr unsigned max_doublings = 3;

core::duration timeout_after(unsigned requests_before)
{
    return table_fetch_scheduler::initial_timeout *
           (1U << std::min(requests_before, max_doublings));
}

} // namespace

void table_fetch_scheduler::record_version(
    const core::host_name& neighbour,
    std::uint64_t version,
    core::time_point now)
{
    if (version <= version_)
        return;
    if (!behind_since_)
        behind_since_ = now;
    const auto [known, is_new] =
        newer_versions_.try_emplace(neighbour, announcement{version, now});
    if (is_new || known->second.version >= version)
        return;
    known->second.version = version;
    known->second.received_at = now;
}

void table_fetch_scheduler::set_own_version(
    std::uint64_t version, core::time_point now)
{
    version_ = version;
    std::erase_if(newer_versions_, [version](const auto& each) {
        return each.second.version <= version;
    });
    behind_since_.reset();
    if (!newer_versions_.empty())
        behind_since_ = now;
    for (auto& [neighbour, announced] : newer_versions_)
        announced.requests = 0;
    pending_neighbour_.reset();
    next_request_at_ = {};
    consecutive_requests_ = 0;
    needs_full_table_ = false;
}

// Starts a pause after a response without a newer version. Without the pause
// this host would repeat its request to a neighbour whose table it cannot parse
// as fast as the neighbour responds.
void table_fetch_scheduler::record_response(
    const core::host_name& neighbour, core::time_point now)
{
    if (pending_neighbour_ != neighbour)
        return;
    pending_neighbour_.reset();
    next_request_at_ = std::min(next_request_at_, now + source_grace_period);
}

void table_fetch_scheduler::remove_neighbour(const core::host_name& neighbour)
{
    newer_versions_.erase(neighbour);
    if (newer_versions_.empty())
        behind_since_.reset();
    if (pending_neighbour_ != neighbour)
        return;
    pending_neighbour_.reset();
    next_request_at_ = {};
}

bool table_fetch_scheduler::is_in_grace_period(core::time_point now) const
{
    return std::none_of(
        newer_versions_.begin(),
        newer_versions_.end(),
        [now](const auto& each) {
            return now - each.second.received_at >= source_grace_period;
        });
}

// Chooses, among the neighbours that were asked the least, one with the newest
// version. Each host starts with a different neighbour: all hosts receive the
// first announcement at the same moment, and if all asked the same
// neighbour, the network link of that neighbour would be the next to be
// saturated.
table_fetch_scheduler::announcements::iterator table_fetch_scheduler::choose()
{
    const auto rank = [this](const announcements::value_type& each) {
        return std::tuple(
            -static_cast<std::int64_t>(each.second.requests),
            each.second.version,
            core::rendezvous_weight(self_.value(), each.first.value()));
    };
    return std::max_element(
        newer_versions_.begin(),
        newer_versions_.end(),
        [&rank](const auto& left, const auto& right) {
            return rank(left) < rank(right);
        });
}

std::optional<table_fetch> table_fetch_scheduler::next(core::time_point now)
{
    if (newer_versions_.empty() || now < next_request_at_ ||
        is_in_grace_period(now))
        return std::nullopt;
    const auto chosen = choose();
    ++chosen->second.requests;
    pending_neighbour_ = chosen->first;
    next_request_at_ = now + timeout_after(consecutive_requests_);
    ++consecutive_requests_;
    return table_fetch{
        chosen->first, chosen->second.version, needs_full_table_};
}

} // namespace godwit::entry
