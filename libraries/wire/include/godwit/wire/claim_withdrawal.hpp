#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// Cancels a `claim_request`; the agent sends no response.
struct claim_withdrawal
{
    std::uint64_t ask = 0;
    std::string key;

    friend bool
    operator==(const claim_withdrawal&, const claim_withdrawal&) = default;
};

} // namespace godwit::wire
