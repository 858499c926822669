#pragma once

#include <godwit/core/identifiers.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace godwit::faults {

/// How long a message between two processes of the world takes.
inline constexpr auto hop = std::chrono::milliseconds(1);

/// The address of a backend server; worlds have fewer than ten.
[[nodiscard]] inline core::server_address address_of(std::size_t index)
{
    return core::server_address("e" + std::to_string(index));
}

/// Which backend server has `address`.
[[nodiscard]] inline std::size_t index_of(const core::server_address& address)
{
    return static_cast<std::size_t>(address.value().back() - '0');
}

} // namespace godwit::faults
