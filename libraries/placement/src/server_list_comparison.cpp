#include <godwit/placement/server_list_comparison.hpp>

#include <godwit/core/hash.hpp>

#include <cstddef>
#include <cstdint>
#include <iterator>

namespace godwit::placement {

std::optional<core::host_name> server_list_comparison::next_recipient(
    const std::set<core::host_name>& neighbours, core::time_point now)
{
    if (sent_at_ && now - *sent_at_ < interval)
        return std::nullopt;
    sent_at_ = now;
    auto next = neighbours.upper_bound(last_recipient_);
    if (next == neighbours.end())
        next = neighbours.begin();
    if (next == neighbours.end())
        return std::nullopt;
    last_recipient_ = *next;
    return last_recipient_;
}

void server_list_comparison::record_digest(
    const core::host_name& neighbour, const server_list_digest& digest)
{
    digests_.insert_or_assign(neighbour, digest);
}

bool server_list_comparison::is_waiting(
    bool is_known, core::time_point now) const
{
    return fetched_at_ && now - *fetched_at_ < (is_known ? interval : timeout);
}

// Hosts that start together must not all request the list of the same host.
server_list_comparison::digests::const_iterator
server_list_comparison::any_digest() const
{
    const std::uint64_t number =
        core::stable_hash(self_.value(), digests_.size());
    return std::next(
        digests_.begin(),
        static_cast<std::ptrdiff_t>(number % digests_.size()));
}

// A digest that is compared later would differ by what changed meanwhile.
std::optional<server_list_fetch> server_list_comparison::next_fetch(
    const server_list_digest& own, bool is_known, core::time_point now)
{
    if (is_waiting(is_known, now)) {
        if (is_known)
            digests_.clear();
        return std::nullopt;
    }
    while (!digests_.empty()) {
        const auto compared = any_digest();
        const server_list_fetch fetch{
            compared->first, own.differences(compared->second)};
        digests_.erase(compared);
        if (fetch.buckets.none())
            continue;
        source_ = fetch.neighbour;
        fetched_at_ = now;
        return fetch;
    }
    return std::nullopt;
}

void server_list_comparison::cancel_fetch()
{
    source_.reset();
    fetched_at_.reset();
}

bool server_list_comparison::complete(const core::host_name& neighbour)
{
    if (source_ != neighbour)
        return false;
    source_.reset();
    return true;
}

} // namespace godwit::placement
