#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/routing/engine_profile.hpp>
#include <godwit/routing/warm_up_profile.hpp>

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
    /// Empty if its servers need no warm-up.
    std::optional<warm_up_profile> warm_up;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace godwit::routing
