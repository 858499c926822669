#pragma once

#include <godwit/core/time.hpp>

namespace godwit::wire {

/// Delays between attempts: doubled from `initial_delay` up to `max_delay`,
/// each drawn uniformly from its upper half so that many clients do not retry
/// at the same moment.
struct backoff_options
{
    core::duration initial_delay = std::chrono::milliseconds(50);
    core::duration max_delay = std::chrono::seconds(2);

    friend bool
    operator==(const backoff_options&, const backoff_options&) = default;
};

} // namespace godwit::wire
