#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::dispatch {

/// The backend server accepted the request.
struct request_started
{
    /// The request.
    core::request_id id;

    friend bool
    operator==(const request_started&, const request_started&) = default;
};

} // namespace godwit::dispatch
