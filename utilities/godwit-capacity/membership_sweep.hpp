#pragma once

namespace godwit::capacity {

/// What membership costs: a load report, a tick and a host list against the
/// backend servers known.
void run_membership_sweep();

} // namespace godwit::capacity
