#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>

namespace godwit::platform {

/// What to read of a stream.
struct read_request
{
    std::string stream;
    std::uint64_t from = 0;  ///< The first offset wanted.
    std::uint32_t limit = 0; ///< The most records wanted.

    /// How long the log may wait for a record at `from`.
    core::duration wait{0};

    friend bool operator==(const read_request&, const read_request&) = default;
};

} // namespace godwit::platform
