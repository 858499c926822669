#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/claim_verdict.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The answer to one `claim_request`.
struct claim_answer
{
    std::uint64_t correlation = 0;
    std::string claim;
    claim_verdict verdict = claim_verdict::unavailable;
    /// The offset of the claim that stands, when one does.
    std::uint64_t offset = 0;
    /// The holder, when one is known.
    core::host_name host;
    core::incarnation_id incarnation;
    std::string holder_address;
    /// When to come back, in milliseconds; for `unavailable`.
    std::uint32_t retry_after_ms = 0;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

} // namespace godwit::wire
