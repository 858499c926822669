#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::catalogue {

/// How a follower behaves; the same on every host but for `self`.
struct follower_settings
{
    core::host_name self;

    /// Digests go to this many neighbours, whatever the number of hosts.
    std::size_t neighbour_count = 4;
    /// The time between digests while nothing changes.
    core::duration digest_interval = std::chrono::seconds(1);
    /// The least time between digests while the catalogue changes.
    core::duration digest_spacing = std::chrono::milliseconds(250);

    /// How long the log may take to bring what a peer has already.
    core::duration log_grace = std::chrono::milliseconds(300);
    /// The time between reads while the log fails.
    core::duration log_retry = std::chrono::milliseconds(500);
    /// A read without any answer is given up after this time.
    core::duration read_timeout = std::chrono::seconds(30);
    core::duration pull_timeout = std::chrono::seconds(1);

    /// The age at which a checkpoint is replaced; a quarter of the log's
    /// retention leaves room for three failures.
    core::duration checkpoint_interval = std::chrono::hours(6);
    /// Each host waits this much longer than the one ranked before it.
    core::duration checkpoint_rank_step = std::chrono::seconds(10);
    /// Missing chunks of an own checkpoint are appended again after this.
    core::duration checkpoint_retry = std::chrono::seconds(30);

    /// Records a read; even the largest ones must fit into one answer of
    /// the log's client (8 MiB).
    std::uint32_t read_limit = 64;

    friend bool
    operator==(const follower_settings&, const follower_settings&) = default;
};

} // namespace godwit::catalogue
