#include <godwit/admission/byte_budget.hpp>

#include <algorithm>

namespace godwit::admission {

byte_budget::lease::lease(byte_budget& budget) noexcept : budget_(budget)
{
    ++budget_.leases_;
}

byte_budget::lease::~lease()
{
    budget_.used_ -= bytes_;
    --budget_.leases_;
}

bool byte_budget::lease::try_grow(std::size_t bytes) noexcept
{
    const bool is_within_limit = budget_.used_ + bytes <= budget_.limit_;
    const bool is_within_share = bytes_ + bytes <= budget_.share();
    if (!is_within_limit && !is_within_share)
        return false;
    bytes_ += bytes;
    budget_.used_ += bytes;
    return true;
}

std::size_t byte_budget::share() const noexcept
{
    return std::max(min_share, limit_ / std::max<std::size_t>(leases_, 1));
}

} // namespace godwit::admission
