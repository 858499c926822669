#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The load that one entry host has on one process of a backend server.
struct server_work
{
    std::string server; ///< Id of the server process.
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;        ///< KV cache size at the requests' ends.
    std::uint64_t unread_tokens = 0; ///< Prompt tokens before prefill.
    /// Size of the KV caches that are being copied to the server.
    std::uint64_t arriving_tokens = 0;
    std::uint32_t paced_streams = 0; ///< Streams with a known event gap.
    std::uint32_t gap_ms = 0;        ///< Sum of these gaps.

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// Load report of one entry host; replaces its previous one.
struct host_work
{
    std::vector<server_work> work;
    /// Whether the sender currently reads the list of servers at its source.
    bool reads_list = false;
    /// The first host by name that is known to read the list, and the age of
    /// its report; empty if none is known.
    std::string reader;
    std::uint32_t reader_age_ms = 0;
    /// Whether the sender sends the recipient each change of the list of
    /// servers that it reads.
    bool serves_recipient = false;

    friend bool operator==(const host_work&, const host_work&) = default;
};

} // namespace godwit::wire
