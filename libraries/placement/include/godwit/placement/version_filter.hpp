#pragma once

#include <godwit/placement/backend_server.hpp>

#include <optional>
#include <set>

namespace godwit::placement {

/// The versions of servers that a request may use; all by default.
struct version_filter
{
    std::optional<server_version> only;
    std::set<server_version> excluded;

    [[nodiscard]] bool allows(const server_version& version) const
    {
        return (!only || version == *only) && !excluded.contains(version);
    }

    friend bool
    operator==(const version_filter&, const version_filter&) = default;
};

} // namespace godwit::placement
