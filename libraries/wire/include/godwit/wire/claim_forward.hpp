#pragma once

#include <godwit/wire/claim_release.hpp>
#include <godwit/wire/claim_request.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// Claims of one availability zone, for the agent that batches their keys.
struct claim_forward
{
    std::uint64_t correlation = 0;
    std::vector<claim_request> requests;
    std::vector<claim_release> releases;

    friend bool
    operator==(const claim_forward&, const claim_forward&) = default;
};

} // namespace godwit::wire
