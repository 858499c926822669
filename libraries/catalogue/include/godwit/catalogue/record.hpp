#pragma once

#include <cstdint>
#include <string>

namespace godwit::catalogue {

/// One record of the catalogue's stream as the log returns it.
struct record
{
    std::uint64_t offset = 0;
    std::uint64_t time_ms = 0; ///< The log's own time of the append.
    std::string data;

    friend bool operator==(const record&, const record&) = default;
};

} // namespace godwit::catalogue
