#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// An amount of work: requests, and the tokens planned for them.
struct queued_work
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(const queued_work&, const queued_work&) = default;
};

/// The streams of one service at one place in the queue order; lower orders
/// start first. `arrived` and `started` are those of the last two seconds.
struct queue_order_sum
{
    std::int32_t order = 0;
    queued_work waiting;
    queued_work arrived;
    queued_work started;

    friend bool
    operator==(const queue_order_sum&, const queue_order_sum&) = default;
};

/// A request that was refused, and when its caller was told to retry.
struct announced_retry
{
    std::string fingerprint;
    std::int32_t order = 0; ///< Its place in the queue order when it retries.
    std::uint64_t tokens = 0;
    std::uint32_t due_ms = 0; ///< Until then, from the sending of the message.

    friend bool
    operator==(const announced_retry&, const announced_retry&) = default;
};

/// One service's waiting and started streams at the sender, and the retries
/// that the sender announced since its previous message.
struct queue_sum
{
    core::service_name service;
    std::vector<queue_order_sum> orders;
    std::vector<announced_retry> retries;

    friend bool operator==(const queue_sum&, const queue_sum&) = default;
};

/// Waiting and started streams of the sender, by service.
struct queue_sums
{
    std::vector<queue_sum> sums;

    friend bool operator==(const queue_sums&, const queue_sums&) = default;
};

} // namespace godwit::wire
