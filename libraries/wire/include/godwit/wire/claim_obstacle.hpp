#pragma once

#include <cstdint>

namespace godwit::wire {

/// Why a claim could not be decided.
enum class claim_obstacle : std::uint8_t
{
    log_down,           ///< The log is down or cannot be reached.
    timed_out,          ///< Not decided in time; it will be released.
    catching_up,        ///< The agent has not read the whole stream yet.
    history_incomplete, ///< Records within the window were trimmed.
    overloaded,         ///< A queue or the ledger is full.
    releasing,          ///< An earlier claim of the host is being released.
    invalid_holder,     ///< The request's `holder` is not valid.
};

} // namespace godwit::wire
