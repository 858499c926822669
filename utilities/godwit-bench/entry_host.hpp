#pragma once

#include "entry_policy.hpp"

#include <cstddef>
#include <vector>

namespace godwit::bench {

/// An entry host of a run, with a policy of its own.
template<entry_policy Policy>
struct entry_host
{
    Policy policy;
    std::size_t zone = 0;
    /// Its running generations by index.
    std::vector<std::size_t> active;
    /// Queued or running requests that it owns.
    std::size_t in_hand = 0;
    /// The same as other hosts last heard of it.
    std::size_t told_in_hand = 0;
};

} // namespace godwit::bench
