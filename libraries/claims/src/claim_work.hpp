#pragma once

#include "outbox.hpp"

#include <godwit/claims/claim_holder.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <vector>

namespace godwit::claims {

/// A key that the local proxy waits for. The first ask gets the claim;
/// further ones are told that the first has it.
struct claim_work
{
    request_fingerprint request;
    claim_holder holder;
    std::vector<std::uint64_t> asks;
    core::time_point asked_at;
    outbox::item_id item = 0;
};

} // namespace godwit::claims
