#pragma once

#include <godwit/wire/claim_holder.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// Asks the proxy's agent for permission to run a request.
struct claim_request
{
    /// Correlation number, chosen by the proxy and returned in the response.
    std::uint64_t ask = 0;
    /// Hash of the organisation and the idempotency key.
    std::string key;
    /// Hash of the request's content.
    std::string fingerprint;
    claim_holder holder;

    friend bool
    operator==(const claim_request&, const claim_request&) = default;
};

} // namespace godwit::wire
