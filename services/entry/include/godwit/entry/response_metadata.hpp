#pragma once

#include <optional>
#include <string>

namespace godwit::entry {

/// What a backend server says of its answer beside the answer itself.
struct response_metadata
{
    std::string attempt_id; ///< Of the request it answers; empty if absent.
    bool is_signed = false; ///< The server vouches for the answer.
    /// The server did not run the request and never will.
    bool is_not_run = false;
    bool is_closing = false; ///< The connection takes no further request.
    /// Requests per second that the server accepts from all hosts together.
    std::optional<double> requests_per_second;
    bool has_invalid_limit = false; ///< Invalid or repeated.

    friend bool
    operator==(const response_metadata&, const response_metadata&) = default;
};

} // namespace godwit::entry
