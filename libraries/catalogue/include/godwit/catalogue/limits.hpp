#pragma once

#include <cstddef>
#include <cstdint>

/// The bounds of the catalogue. All are the same on every host, because
/// acceptance depends on them.
namespace godwit::catalogue {

/// The largest record that the platform's log takes, in bytes.
inline constexpr std::size_t maximum_record_bytes = 64UL * 1024;

/// The longest name of an entry, operator, model or change, in bytes.
inline constexpr std::size_t maximum_name_bytes = 128;

/// The most changes in one change set.
inline constexpr std::size_t maximum_changes = 256;

/// The most entries of each kind, tombstones of the kind not counted.
inline constexpr std::size_t maximum_organisations = 16384;
inline constexpr std::size_t maximum_services = 512;
inline constexpr std::size_t maximum_classes = 64;

/// The most tombstones; a deletion above it is refused until a checkpoint
/// lets old ones go.
inline constexpr std::size_t maximum_tombstones = 16384;

/// The most bearer tokens of one organisation.
inline constexpr std::size_t maximum_tokens_of_organisation = 16;

/// The most engine targets of one service.
inline constexpr std::size_t maximum_engine_targets = 16;

/// A repeated change id is recognised while its first record is among this
/// many records of the log.
inline constexpr std::uint64_t repeat_window_records = 4096;

} // namespace godwit::catalogue
