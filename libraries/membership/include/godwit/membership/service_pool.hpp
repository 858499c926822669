#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/eligible_server.hpp>

#include <vector>

namespace godwit::membership {

/// The backend servers that may get new requests of one service. Each list is
/// sorted by address.
struct service_pool
{
    core::service_name service;
    std::vector<eligible_server> own_zone; ///< Preferred.
    std::vector<eligible_server> other_zones;

    friend bool operator==(const service_pool&, const service_pool&) = default;
};

} // namespace godwit::membership
