#pragma once

#include <godwit/core/identifiers.hpp>

#include <string>

namespace godwit::wire {

/// Who may run a claimed request: one run of one proxy.
struct claim_holder
{
    core::host_name host;
    core::incarnation_id incarnation;
    /// Where other proxies reach it, as "IP:port".
    std::string peer_address;

    friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

} // namespace godwit::wire
