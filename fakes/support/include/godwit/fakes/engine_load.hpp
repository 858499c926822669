#pragma once

#include <cstddef>
#include <cstdint>

namespace godwit::fakes {

/// How busy an engine is.
struct engine_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::uint64_t memory_used = 0; ///< Tokens.
    std::uint64_t preemptions = 0; ///< Since the engine began.

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

} // namespace godwit::fakes
