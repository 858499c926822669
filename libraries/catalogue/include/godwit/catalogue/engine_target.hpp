#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace godwit::catalogue {

/// How many replicas of a service's pool shall hold which model.
struct engine_target
{
    std::string model;
    std::string adapter; ///< Empty: none.
    std::string version;
    std::uint32_t replicas = 0;

    friend bool
    operator==(const engine_target&, const engine_target&) = default;
};

} // namespace godwit::catalogue
