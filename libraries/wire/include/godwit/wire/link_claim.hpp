#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The sender makes the final copy of a generation's KV cache over the network
/// links of these servers; other hosts start no copy there meanwhile.
struct link_claim
{
    std::vector<std::string> servers; ///< Ids of the server processes.
    std::uint32_t hold_ms = 0;        ///< Duration; 0 ends the claim.

    friend bool operator==(const link_claim&, const link_claim&) = default;
};

} // namespace godwit::wire
