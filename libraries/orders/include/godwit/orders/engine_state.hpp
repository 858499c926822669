#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace godwit::orders {

/// What an engine reports about itself.
struct engine_state
{
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string version;
    std::string role;
    std::uint64_t highest_fencing = 0;

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

} // namespace godwit::orders
