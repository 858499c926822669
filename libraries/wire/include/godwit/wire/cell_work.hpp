#pragma once

#include <godwit/wire/host_work.hpp>

#include <string>
#include <vector>

namespace godwit::wire {

/// What all entry hosts of the sender's cell have at work, server by server.
struct cell_work
{
    std::string cell; ///< The cell's name.
    /// Whether servers that are not named have no work of the cell. Otherwise
    /// they are as they were told before.
    bool is_whole = false;
    std::vector<server_work> work;

    friend bool operator==(const cell_work&, const cell_work&) = default;
};

} // namespace godwit::wire
