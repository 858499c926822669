#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// What a scheduler believes of a backend server, for the state dump.
struct server_state
{
    /// The server.
    core::server_address address;
    /// Requests there, predicted.
    double running = 0.0;
    /// Tokens in its memory, predicted.
    double memory_tokens = 0.0;
    /// Tokens by which the known generations are expected to grow.
    double expected_tokens = 0.0;
    /// This host's requests there.
    std::uint32_t own_running = 0;

    friend bool operator==(const server_state&, const server_state&) = default;
};

} // namespace godwit::dispatch
