#pragma once

#include <cstdint>

namespace godwit::platform {

/// Counters of one host's requests to the log.
struct log_client_counters
{
    std::uint64_t appends = 0;         ///< Sent.
    std::uint64_t appends_unknown = 0; ///< Sent, with an unknown effect.
    std::uint64_t appends_refused = 0; ///< Not appended; includes over budget.
    std::uint64_t reads = 0;
    std::uint64_t reads_failed = 0;

    friend bool operator==(
        const log_client_counters&, const log_client_counters&) = default;
};

} // namespace godwit::platform
