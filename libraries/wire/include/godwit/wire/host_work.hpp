#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// What one entry host has at work at one run of a backend server.
struct server_work
{
    std::string server; ///< The id of the run.
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;        ///< Memory at the requests' ends.
    std::uint64_t unread_tokens = 0; ///< Of prompts.
    /// Memory of generations that is being copied to the server.
    std::uint64_t arriving_tokens = 0;
    std::uint32_t paced_streams = 0; ///< Whose events have a known gap.
    std::uint32_t gap_ms = 0;        ///< The sum of these gaps.

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// All that one entry host has at work; replaces what it said before.
struct host_work
{
    std::vector<server_work> work;
    /// Whether the sender reads the list of servers at its source now.
    bool reads_list = false;
    /// The first host by name that is known to read the list, and how long
    /// ago it said so; empty if none is known.
    std::string reader;
    std::uint32_t reader_age_ms = 0;

    friend bool operator==(const host_work&, const host_work&) = default;
};

} // namespace godwit::wire
