#include <godwit/orders/lease_table.hpp>

#include <algorithm>

namespace godwit::orders {

namespace {

// Lapsed leases of pools that are gone are dropped from here on.
constexpr std::size_t lease_count_limit = 1024;

bool is_later_epoch(const lease_holder& later, const lease_holder& earlier)
{
    return later.host == earlier.host &&
           later.incarnation == earlier.incarnation &&
           later.epoch > earlier.epoch;
}

} // namespace

std::optional<lease_record> lease_table::fold(const log_record& record)
{
    newest_ = std::max(newest_, record.time);
    auto read = lease_record::decode(record.data);
    if (!read) {
        ++bad_records_;
        return std::nullopt;
    }
    for (const auto& name : read->releases) {
        const auto known = leases_.find(name);
        if (known != leases_.end() && known->second.holder == read->holder)
            leases_.erase(known);
    }
    for (const auto& name : read->leases)
        take(name, *read, record);
    if (leases_.size() > lease_count_limit)
        forget_lapsed();
    return std::move(*read);
}

void lease_table::take(
    const core::service_name& name,
    const lease_record& wanted,
    const log_record& at)
{
    const lease fresh{wanted.holder, at.offset + 1, newest_ + wanted.length};
    const auto [known, is_new] = leases_.try_emplace(name, fresh);
    if (is_new)
        return;
    auto& current = known->second;
    if (newest_ >= current.expires ||
        is_later_epoch(wanted.holder, current.holder))
        current = fresh;
    else if (current.holder == wanted.holder)
        current.expires = fresh.expires;
}

std::optional<lease> lease_table::find(const core::service_name& name) const
{
    const auto known = leases_.find(name);
    if (known == leases_.end())
        return std::nullopt;
    return known->second;
}

void lease_table::forget_lapsed()
{
    std::erase_if(leases_, [this](const auto& item) {
        return item.second.expires <= newest_;
    });
}

} // namespace godwit::orders
