#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// A record for the claims stream, sent to the agent of the zone that batches
/// the appends for its key.
struct claim_forward
{
    std::uint64_t correlation = 0;
    std::string record;

    friend bool
    operator==(const claim_forward&, const claim_forward&) = default;
};

} // namespace godwit::wire
