#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/refusal_reason.hpp>

namespace godwit::dispatch {

/// Tell the caller that the request did not run. The scheduler forgot it.
struct refuse_request
{
    /// The request.
    core::request_id id;
    /// Why.
    refusal_reason reason = refusal_reason::queue_full;
    /// When coming back can help.
    core::duration retry_after{};

    friend bool
    operator==(const refuse_request&, const refuse_request&) = default;
};

} // namespace godwit::dispatch
