#pragma once

#include <godwit/core/identifiers.hpp>

#include <optional>
#include <string>
#include <vector>

namespace godwit::routing {

/// Who sends requests, and the keys that prove it.
struct organisation
{
    core::organisation_name name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.

    friend bool operator==(const organisation&, const organisation&) = default;
};

} // namespace godwit::routing
