#pragma once

#include <godwit/placement/server_start.hpp>

namespace godwit::entry {

/// What a backend server says of itself when it is asked.
struct server_report
{
    bool is_draining = false; ///< It takes nothing new, and ends soon.
    placement::server_start start = {}; ///< Of the life that answered.

    friend bool
    operator==(const server_report&, const server_report&) = default;
};

} // namespace godwit::entry
