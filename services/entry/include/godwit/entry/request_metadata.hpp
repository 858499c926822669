#pragma once

#include <godwit/admission/generation_parameters.hpp>
#include <godwit/core/time.hpp>

#include <optional>
#include <string>

namespace godwit::entry {

/// What a caller says of its request beside the request itself.
struct request_metadata
{
    std::string attempt_id; ///< Of this attempt alone; empty if absent.
    std::optional<core::duration> time_left; ///< Until the caller leaves.
    std::string key; ///< Proves the organisation; empty if absent.
    std::optional<admission::generation_parameters> generation;

    friend bool
    operator==(const request_metadata&, const request_metadata&) = default;
};

} // namespace godwit::entry
