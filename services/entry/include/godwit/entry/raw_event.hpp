#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// One complete event of a stream, byte for byte.
struct raw_event
{
    std::string bytes; ///< Including the empty line at its end.
    std::optional<std::uint64_t> id;

    friend bool operator==(const raw_event&, const raw_event&) = default;
};

} // namespace godwit::entry
