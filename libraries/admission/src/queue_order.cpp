#include <godwit/admission/queue_order.hpp>

#include <godwit/admission/wait_policy.hpp>

#include <algorithm>

namespace godwit::admission {

namespace {

constexpr int max_rank = 2 * wait_policy::late_rank_offset - 1;

} // namespace

int queue_order_of(int rank, retry_kind retry) noexcept
{
    return 2 * std::clamp(rank, 0, max_rank) +
           (retry == retry_kind::announced ? 0 : 1);
}

bool is_late_order(int order) noexcept
{
    return order >=
           queue_order_of(wait_policy::late_rank_offset, retry_kind::announced);
}

bool is_valid_order(int order) noexcept
{
    return order >= 0 && order <= queue_order_of(max_rank, retry_kind::none);
}

} // namespace godwit::admission
