#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>

namespace godwit::platform {

/// A request to read from a stream.
struct read_request
{
    std::string stream;
    std::uint64_t from = 0;  ///< First offset to read.
    std::uint32_t limit = 0; ///< Most records to return.

    /// Time for which the log may wait for a record at `from` (long polling).
    core::duration wait{0};

    friend bool operator==(const read_request&, const read_request&) = default;
};

} // namespace godwit::platform
