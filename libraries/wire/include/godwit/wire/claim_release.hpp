#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The holder certainly did not run the request; another may claim it.
struct claim_release
{
    std::string claim;
    core::incarnation_id incarnation;
    /// The offset of the claim that is released.
    std::uint64_t offset = 0;

    friend bool
    operator==(const claim_release&, const claim_release&) = default;
};

} // namespace godwit::wire
