#pragma once

#include <godwit/core/time.hpp>
#include <godwit/memory/amounts.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::memory {

/// The bounds of a client account.
struct account_limits
{
    /// What all holders together may have.
    amounts total;
    /// The part of `total.bytes` that only small holders may use, so that they
    /// find room beside large ones.
    std::size_t reserved_bytes = 0;
    /// A holder with at most this many bytes is small.
    std::size_t small_bytes = std::size_t{64} * 1024;
    /// A client that has made no progress for as long may lose its place to
    /// another one. Also how long a client that is refused has to wait for
    /// room.
    core::duration stall_time = std::chrono::seconds(1);

    friend bool
    operator==(const account_limits&, const account_limits&) = default;

    /// Returns the bounds for a process that may use as much `memory_bytes`
    /// and as many `descriptors`.
    [[nodiscard]] static account_limits
    for_process(std::size_t memory_bytes, std::size_t descriptors) noexcept;

    /// The largest body that one request or response may have, so that it
    /// leaves room for others.
    [[nodiscard]] std::size_t largest_body_bytes() const noexcept
    {
        return total.bytes / 2;
    }
};

} // namespace godwit::memory
