#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::dispatch {

/// The caller of a queued request is gone.
struct request_left
{
    /// The request.
    core::request_id id;

    friend bool operator==(const request_left&, const request_left&) = default;
};

} // namespace godwit::dispatch
