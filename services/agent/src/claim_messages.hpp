#pragma once

#include <godwit/claims/claim_answer.hpp>
#include <godwit/claims/claim_holder.hpp>
#include <godwit/wire/claim_answer.hpp>
#include <godwit/wire/claim_holder.hpp>

#include <cstdint>

namespace godwit::agent {

[[nodiscard]] claims::claim_holder to_claims(const wire::claim_holder& holder);

[[nodiscard]] wire::claim_holder to_wire(const claims::claim_holder& holder);

/// The answer to the proxy's question `ask`.
[[nodiscard]] wire::claim_answer
to_wire(std::uint64_t ask, const claims::claim_answer& answer);

} // namespace godwit::agent
