#pragma once

#include <cstdint>

namespace godwit::catalogue {

/// Time passes; wanted at least every 100 milliseconds.
struct tick
{
    /// Milliseconds since 1970 by the host's clock. Only the age of
    /// checkpoints is judged by it.
    std::uint64_t wall_time_ms = 0;

    friend bool operator==(const tick&, const tick&) = default;
};

} // namespace godwit::catalogue
