#pragma once

#include <godwit/catalogue/record.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <vector>

namespace godwit::catalogue {

/// The answer to a pull: records in order.
struct peer_records
{
    core::host_name peer;
    std::vector<record> records;
    /// The hash of the sender's state after the last of them.
    std::uint64_t end_hash = 0;

    friend bool operator==(const peer_records&, const peer_records&) = default;
};

} // namespace godwit::catalogue
