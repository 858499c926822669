#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/routing/engine_profile.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::routing {

/// A group of interchangeable backend servers.
struct service
{
    core::service_name name;
    std::string health_path;
    /// Connections that one server accepts from all hosts together.
    std::uint32_t max_connections = 0;
    std::optional<engine_profile> engine; ///< Only for a language model.

    friend bool operator==(const service&, const service&) = default;
};

} // namespace godwit::routing
