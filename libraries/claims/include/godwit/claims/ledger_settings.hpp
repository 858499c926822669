#pragma once

#include <chrono>
#include <cstddef>

namespace godwit::claims {

/// How long claims are remembered, and how many.
struct ledger_settings
{
    /// How long the log keeps a record.
    std::chrono::milliseconds retention = std::chrono::hours(1);

    /// Taken off the retention: the deduplication window that callers are
    /// told is `retention - margin`.
    std::chrono::milliseconds margin = std::chrono::minutes(10);

    /// The most keys remembered. When reached, new keys are answered `full`;
    /// nothing younger than the retention is ever forgotten.
    std::size_t entry_limit = 200'000;

    friend bool
    operator==(const ledger_settings&, const ledger_settings&) = default;
};

} // namespace godwit::claims
