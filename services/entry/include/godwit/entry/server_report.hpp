#pragma once

#include <godwit/placement/server_start.hpp>

namespace godwit::entry {

/// A backend server's own report of its state, in response to a poll.
struct server_report
{
    bool is_draining = false; ///< Takes no new requests and ends soon.
    /// Whether it says anything of the server. What does not may be another
    /// response, such as that of a hold.
    bool names_state = false;
    placement::server_start start = {}; ///< Of the process that responded.

    friend bool
    operator==(const server_report&, const server_report&) = default;
};

} // namespace godwit::entry
