#pragma once

#include <cstddef>
#include <cstdint>

namespace godwit::wire {

/// Version of the protocol; a peer with a different one is rejected.
inline constexpr std::uint32_t protocol_version = 1;

/// Size of the little-endian length before each frame body, in bytes.
inline constexpr std::size_t frame_header_size = 4;

/// Default limit of a frame body, in bytes.
inline constexpr std::size_t default_frame_limit = std::size_t{1024} * 1024;

/// Largest chunk of a snapshot, in bytes: one record of the log.
inline constexpr std::size_t snapshot_chunk_size = std::size_t{64} * 1024;

/// Most chunks of one snapshot: 64 MiB in total.
inline constexpr std::uint32_t snapshot_chunk_limit = 1024;

} // namespace godwit::wire
