#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// Asks for the right to run one request that may not be repeated.
struct claim_request
{
    /// Chosen by the asker; the answer carries it.
    std::uint64_t correlation = 0;
    /// The claim: the hash of organisation and idempotency key.
    std::string claim;
    /// The entry host that would hold it.
    core::host_name host;
    /// The proxy's run that would hold it.
    core::incarnation_id incarnation;
    /// Where the would-be holder is reached, as "IP:port".
    std::string holder_address;

    friend bool
    operator==(const claim_request&, const claim_request&) = default;
};

} // namespace godwit::wire
