#pragma once

#include <godwit/core/time.hpp>

#include <godwit/placement/load_statement.hpp>

#include <optional>
#include <string>

namespace godwit::entry {

/// What the header fields of a backend server's response say about it.
struct response_metadata
{
    std::string attempt_id; ///< Of the answered request; empty if absent.
    std::string server; ///< The id of the responding server; empty if absent.
    bool is_signed = false; ///< It carries the server's signature.
    /// The server did not execute the request and never will.
    bool is_not_run = false;
    bool is_closing = false; ///< The server closes the connection after it.
    bool is_leaving = false; ///< The server ends soon.
    /// How long the server wants no requests of this host.
    std::optional<core::duration> backoff;
    bool has_invalid_backoff = false; ///< It is malformed or repeated.
    /// Requests per second that the server accepts from all hosts together.
    std::optional<double> requests_per_second;
    bool has_invalid_limit = false; ///< The limit is malformed or repeated.
    /// What the server states of its load, with the slowdown of its machine.
    std::optional<placement::load_statement> load;
    bool has_invalid_load = false; ///< It is malformed or repeated.

    friend bool
    operator==(const response_metadata&, const response_metadata&) = default;
};

} // namespace godwit::entry
