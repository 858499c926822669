#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The sender makes the last copy of a generation over these servers' links;
/// others begin no copy there meanwhile.
struct link_claim
{
    std::vector<std::string> servers; ///< The ids of their runs.
    std::uint32_t hold_ms = 0;        ///< 0 ends the claim.

    friend bool operator==(const link_claim&, const link_claim&) = default;
};

} // namespace godwit::wire
