#pragma once

#include <cstdint>

namespace godwit::wire {

/// Why a claim could not be settled.
enum class claim_obstacle : std::uint8_t
{
    log_down,           ///< The log is in an outage or cannot be reached.
    timed_out,          ///< No settled claim in time; it will be released.
    catching_up,        ///< The agent has not read the whole stream yet.
    history_incomplete, ///< Records in the window were trimmed.
    overloaded,         ///< A queue or the ledger is at its bound.
    releasing,          ///< An earlier claim of the host is being released.
    invalid_holder,     ///< The asker's description of itself is not valid.
};

} // namespace godwit::wire
