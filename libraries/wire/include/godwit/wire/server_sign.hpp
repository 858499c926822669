#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/sign_kind.hpp>

#include <cstdint>

namespace godwit::wire {

/// A notice about the state of one backend server, forwarded to the processes
/// that send to it.
struct server_sign
{
    core::server_address address;
    sign_kind kind = sign_kind::failed;
    /// Time since it was observed, in milliseconds.
    std::uint32_t age_ms = 0;
    /// Start time of the server process that is meant, in Unix milliseconds;
    /// 0 if unknown.
    std::uint64_t started_at_ms = 0;

    friend bool operator==(const server_sign&, const server_sign&) = default;
};

} // namespace godwit::wire
