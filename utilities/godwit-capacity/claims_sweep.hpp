#pragma once

namespace godwit::capacity {

/// What the ledger of claims costs: a folded claim, and the memory and log
/// bytes of one, against the claims remembered.
void run_claims_sweep();

} // namespace godwit::capacity
