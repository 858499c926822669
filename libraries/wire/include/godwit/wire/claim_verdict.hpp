#pragma once

#include <cstdint>

namespace godwit::wire {

/// What became of a claim.
enum class claim_verdict : std::uint8_t
{
    won,            ///< The asker, and nobody else, may run the request.
    held,           ///< Another holder has the key.
    finished,       ///< The request ran and ended.
    unavailable,    ///< Not settled: it did not run under this ask.
    outside_window, ///< The key is older than the deduplication window.
    key_reused,     ///< The key belongs to another request.
};

} // namespace godwit::wire
