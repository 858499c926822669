#pragma once

#include <godwit/claims/attempt_id.hpp>
#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>

#include <optional>

namespace godwit::claims {

/// What a claim came to when it was folded.
enum class claim_effect
{
    none,    ///< The entry is not a claim.
    holds,   ///< It holds its key.
    late,    ///< An earlier claim holds the key, or held it to its end.
    no_room, ///< The ledger is full: it holds the key on other hosts only.
};

/// What one entry of a folded record did.
struct ledger_change
{
    claim_key key;

    /// Where the entry stands.
    claim_position position;

    /// The attempt, if the entry is a claim.
    std::optional<attempt_id> attempt;

    claim_effect effect = claim_effect::none;

    friend bool
    operator==(const ledger_change&, const ledger_change&) = default;
};

} // namespace godwit::claims
