#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// What the header fields of a caller's request say about it.
struct request_metadata
{
    std::string attempt_id; ///< Unique to this attempt; empty if absent.
    std::optional<core::duration> time_left; ///< Until the caller's deadline.
    std::string key; ///< API key of the organisation; empty if absent.
    std::optional<admission::generation_parameters> generation;
    /// The last event of the stream that the caller already has.
    std::optional<std::uint64_t> last_event;
    /// Whether the caller names such an event in a way that cannot be read.
    bool has_invalid_last_event = false;

    friend bool
    operator==(const request_metadata&, const request_metadata&) = default;
};

} // namespace godwit::entry
