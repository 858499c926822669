#pragma once

#include <godwit/core/identifiers.hpp>

#include <string>

namespace godwit::wire {

/// The proxy process that may run a claimed request.
struct claim_holder
{
    core::host_name host;
    core::incarnation_id incarnation;
    /// Address for other proxies, as "IP:port".
    std::string peer_address;

    friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

} // namespace godwit::wire
