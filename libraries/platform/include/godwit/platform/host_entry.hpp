#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/platform/host_kind.hpp>
#include <godwit/platform/host_state.hpp>

#include <string>

namespace godwit::platform {

/// An entry of the platform's host list.
struct host_entry
{
    std::string address; ///< "IP:port" on which the host serves.
    host_kind kind = host_kind::service;
    core::host_name name;
    core::zone_name zone;
    core::service_name service; ///< Empty for an entry host.
    host_state state = host_state::live;

    /// Of an entry host: its agent's address for links, or empty.
    std::string peer;

    friend bool operator==(const host_entry&, const host_entry&) = default;
};

} // namespace godwit::platform
