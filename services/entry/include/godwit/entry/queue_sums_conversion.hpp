#pragma once

#include <godwit/admission/announced_retries.hpp>
#include <godwit/admission/service_queue.hpp>
#include <godwit/core/time.hpp>
#include <godwit/wire/queue_sums.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// What a neighbour reported, without invalid entries.
struct received_queue_sums
{
    admission::host_queues queues;
    std::vector<admission::announced_retry> retries;
    std::size_t invalid = 0; ///< Number of entries that were dropped.
};

[[nodiscard]] wire::queue_sums to_wire(
    const admission::host_queues& queues,
    const std::vector<admission::announced_retry>& retries,
    core::time_point now);

[[nodiscard]] received_queue_sums
from_wire(const wire::queue_sums& message, core::time_point now);

} // namespace godwit::entry
