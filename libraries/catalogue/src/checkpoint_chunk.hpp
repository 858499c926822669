#pragma once

#include <godwit/core/result.hpp>

#include <boost/json/array.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::catalogue {

/// The most chunks of one checkpoint: 16 MiB.
inline constexpr std::uint32_t maximum_chunks = 256;

/// One record of a checkpoint.
struct checkpoint_chunk
{
    std::uint64_t state_offset = 0;
    std::uint64_t hash = 0; ///< Of the whole state.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    boost::json::array items;

    friend bool
    operator==(const checkpoint_chunk&, const checkpoint_chunk&) = default;
};

[[nodiscard]] std::string serialise_chunk(const checkpoint_chunk& chunk);

/// Reads a chunk and verifies its checksum.
[[nodiscard]] core::result<checkpoint_chunk> parse_chunk(std::string_view data);

} // namespace godwit::catalogue
