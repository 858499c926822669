#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/http/endpoint.hpp>

namespace godwit::entry {

/// An entry host, and the address at which other entry hosts reach it.
struct known_host
{
    core::host_name name;
    http::endpoint address;
    core::zone_name zone;

    friend bool operator==(const known_host&, const known_host&) = default;
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const known_host&, const known_host&) = default;
};

} // namespace godwit::entry
