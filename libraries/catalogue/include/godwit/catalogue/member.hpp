#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::catalogue {

/// An entry host as the host list names it.
struct member
{
    core::host_name host;
    core::zone_name zone;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace godwit::catalogue
