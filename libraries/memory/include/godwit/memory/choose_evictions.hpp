#pragma once

#include <godwit/core/time.hpp>
#include <godwit/memory/account_limits.hpp>
#include <godwit/memory/holding.hpp>

#include <cstdint>
#include <vector>

namespace godwit::memory {

/// Returns which of `holdings` have to end so that `shortage` comes free for
/// `requester`, in the order in which they end; none if no choice suffices, in
/// which case the requester is refused.
[[nodiscard]] std::vector<std::uint64_t> choose_evictions(
    const std::vector<holding>& holdings,
    const holding& requester,
    amounts shortage,
    const account_limits& limits,
    core::time_point now);

} // namespace godwit::memory
