#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/core/time.hpp>

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

    friend bool
    operator==(const request_metadata&, const request_metadata&) = default;
};

} // namespace godwit::entry
