#pragma once

#include "measurements.hpp"
#include "run_state.hpp"

namespace godwit::bench {

/// The figures of a run that is over. A request that is still open counts as
/// silent since its last token.
[[nodiscard]] measurements collect_figures(run_state& run);

} // namespace godwit::bench
