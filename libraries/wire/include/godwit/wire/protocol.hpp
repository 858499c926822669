#pragma once

#include <cstddef>
#include <cstdint>

namespace godwit::wire {

/// The version that this build speaks; a peer with another is refused.
inline constexpr std::uint32_t protocol_version = 1;

/// Bytes of the little-endian length before each frame's body.
inline constexpr std::size_t frame_header_size = 4;

/// The largest frame body, in bytes, unless the caller sets another limit.
inline constexpr std::size_t default_frame_limit = std::size_t{1024} * 1024;

/// The largest part of a snapshot, in bytes: one record of the log.
inline constexpr std::size_t snapshot_chunk_size = std::size_t{64} * 1024;

/// The most parts of one snapshot: 64 MiB in all.
inline constexpr std::uint32_t snapshot_chunk_limit = 1024;

} // namespace godwit::wire
