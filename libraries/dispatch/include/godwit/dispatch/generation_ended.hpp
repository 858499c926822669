#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/end_reason.hpp>

namespace godwit::dispatch {

/// A started generation or call ended, whatever the way.
struct generation_ended
{
    /// The request.
    core::request_id id;
    /// How it ended.
    end_reason reason = end_reason::stop;

    friend bool
    operator==(const generation_ended&, const generation_ended&) = default;
};

} // namespace godwit::dispatch
