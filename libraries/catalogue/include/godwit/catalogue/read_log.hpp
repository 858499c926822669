#pragma once

#include <cstdint>

namespace godwit::catalogue {

/// Read at most `limit` records from `from` on, waiting for one if there
/// is none, and answer with `log_records` or `log_unavailable`.
struct read_log
{
    std::uint64_t from = 0;
    std::uint32_t limit = 0;

    friend bool operator==(const read_log&, const read_log&) = default;
};

} // namespace godwit::catalogue
