#pragma once

#include <cstdint>

namespace godwit::wire {

/// The result of a claim.
enum class claim_verdict : std::uint8_t
{
    won,            ///< Only the claiming proxy may run the request.
    held,           ///< Another holder has the key.
    finished,       ///< The request already ran and ended.
    unavailable,    ///< Not decided; nothing ran under this claim.
    outside_window, ///< The key is older than the deduplication window.
    key_reused,     ///< The key was used for a different request.
};

} // namespace godwit::wire
