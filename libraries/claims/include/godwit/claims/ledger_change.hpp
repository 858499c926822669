#pragma once

#include <godwit/claims/attempt_id.hpp>
#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>

#include <optional>

namespace godwit::claims {

/// What one entry of a folded record did.
struct ledger_change
{
    claim_key key;

    /// Where the entry stands.
    claim_position position;

    /// The attempt, if the entry is a claim.
    std::optional<attempt_id> attempt;

    /// Whether the entry is a claim that holds its key now. A claim that the
    /// ledger had no room for holds nothing.
    bool holds = false;

    friend bool
    operator==(const ledger_change&, const ledger_change&) = default;
};

} // namespace godwit::claims
