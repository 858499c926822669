#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::dispatch {

/// A start did not happen. The request is forgotten: a retry is a new
/// `request_arrived` with the server excluded.
struct start_failed
{
    /// The request.
    core::request_id id;

    friend bool operator==(const start_failed&, const start_failed&) = default;
};

} // namespace godwit::dispatch
