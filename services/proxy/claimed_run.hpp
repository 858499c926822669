#pragma once

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/wire/claim_holder.hpp>

namespace godwit::proxy {

/// The run of a request under a claim, and who holds it.
struct claimed_run
{
    claims::claim_key key;
    claims::request_fingerprint request;
    claims::claim_position position;
    wire::claim_holder holder;

    friend bool operator==(const claimed_run&, const claimed_run&) = default;
};

} // namespace godwit::proxy
