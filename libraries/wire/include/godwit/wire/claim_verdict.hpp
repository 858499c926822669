#pragma once

#include <cstdint>

namespace godwit::wire {

/// What became of a claim.
enum class claim_verdict : std::uint8_t
{
    granted,     ///< The asker holds it and may run the request.
    held,        ///< Somebody else holds it; the answer names them.
    unavailable, ///< The log did not confirm it in time: not run.
    expired,     ///< It is older than the deduplication window.
};

} // namespace godwit::wire
