#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The proxy releases the claim at this position: no request ran under it, and
/// none will.
struct claim_release
{
    std::string key;
    std::uint64_t offset = 0;
    std::uint32_t index = 0;

    friend bool
    operator==(const claim_release&, const claim_release&) = default;
};

} // namespace godwit::wire
