#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/wire/claim_holder.hpp>

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The request that ran under the won claim at this position ended.
struct claim_finished
{
    std::string key;
    std::uint64_t offset = 0;
    std::uint32_t index = 0;
    std::string fingerprint;
    claim_holder holder;
    core::outcome outcome = core::outcome::unknown;
    std::uint64_t answer_digest = 0;

    friend bool
    operator==(const claim_finished&, const claim_finished&) = default;
};

} // namespace godwit::wire
