#pragma once

#include "history.hpp"

#include <string>
#include <vector>

namespace godwit::faults {

/// The promises that the history breaks, each as one line; none if it keeps
/// them all.
[[nodiscard]] std::vector<std::string> broken_promises(const history& seen);

} // namespace godwit::faults
