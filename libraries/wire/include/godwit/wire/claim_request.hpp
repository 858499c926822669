#pragma once

#include <godwit/wire/claim_holder.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// A proxy asks its agent whether it may run a request.
struct claim_request
{
    /// The proxy's number for it; the answer carries it.
    std::uint64_t ask = 0;
    /// Organisation and idempotency key, hashed.
    std::string key;
    /// What the request asks for, hashed.
    std::string fingerprint;
    claim_holder holder;

    friend bool
    operator==(const claim_request&, const claim_request&) = default;
};

} // namespace godwit::wire
