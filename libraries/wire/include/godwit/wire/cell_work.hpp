#pragma once

#include <godwit/wire/host_work.hpp>

#include <string>
#include <vector>

namespace godwit::wire {

/// The load that all entry hosts of the sender's cell have on each server.
struct cell_work
{
    std::string cell; ///< The cell's name.
    /// Whether servers that are not listed have no load from the cell.
    /// Otherwise their load is as reported before.
    bool is_whole = false;
    std::vector<server_work> work;

    friend bool operator==(const cell_work&, const cell_work&) = default;
};

} // namespace godwit::wire
