#pragma once

#include <cstdint>

namespace godwit::wire {

/// Whether the agent accepted a `claim_forward`. It does not mean that the
/// record was appended to the log.
struct claim_forward_answer
{
    std::uint64_t correlation = 0;
    bool accepted = false;

    friend bool operator==(
        const claim_forward_answer&, const claim_forward_answer&) = default;
};

} // namespace godwit::wire
