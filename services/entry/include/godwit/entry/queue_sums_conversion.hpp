#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/admission/service_queue.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/wire/queue_sums.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace godwit::entry {

/// A refused request, and when its caller was told to retry.
struct retry_announcement
{
    admission::request_fingerprint request;
    core::service_name service;
    core::time_point due;

    friend bool
    operator==(const retry_announcement&, const retry_announcement&) = default;
};

/// What a neighbour reported, without invalid entries.
struct received_queue_sums
{
    admission::host_queues queues;
    std::vector<retry_announcement> retries;
    std::size_t invalid = 0; ///< Number of entries that were dropped.
};

[[nodiscard]] wire::queue_sums to_wire(
    const admission::host_queues& queues,
    const std::vector<retry_announcement>& retries,
    core::time_point now);

[[nodiscard]] received_queue_sums
from_wire(const wire::queue_sums& message, core::time_point now);

} // namespace godwit::entry
