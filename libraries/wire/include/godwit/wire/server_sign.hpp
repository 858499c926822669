#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/sign_kind.hpp>

#include <cstdint>

namespace godwit::wire {

/// A sign about one backend server, passed on to where it matters.
struct server_sign
{
    core::server_address address;
    sign_kind kind = sign_kind::failed;
    /// How long ago the sign was seen, in milliseconds.
    std::uint32_t age_ms = 0;
    /// When the life that is meant began, in Unix milliseconds; 0 is not
    /// known.
    std::uint64_t started_at_ms = 0;

    friend bool operator==(const server_sign&, const server_sign&) = default;
};

} // namespace godwit::wire
