#pragma once

#include <godwit/wire/source_positions.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit::wire {

/// The digest of the sender's list of servers, by bucket.
struct server_list_offer
{
    std::vector<std::uint64_t> buckets;

    friend bool
    operator==(const server_list_offer&, const server_list_offer&) = default;
};

/// Requests the servers in some buckets of an offered list.
struct server_list_request
{
    std::uint64_t buckets = 0; ///< One bit for each bucket.

    friend bool operator==(
        const server_list_request&, const server_list_request&) = default;
};

/// Some of the requested servers.
struct server_list_part
{
    std::string compressed;          ///< A Zstandard frame.
    std::uint64_t content_bytes = 0; ///< Of the encoded `listed_servers`.
    bool is_last = false;
    /// Of the last part: the list includes everything before this position of
    /// its source; empty if that is not known.
    std::optional<source_position> position = {};

    friend bool
    operator==(const server_list_part&, const server_list_part&) = default;
};

} // namespace godwit::wire
