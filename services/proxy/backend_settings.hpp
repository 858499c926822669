#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::proxy {

/// How the proxy treats backend servers.
struct backend_settings
{
    /// Backend servers of one service that this proxy uses at most; which
    /// ones is rendezvous hashing by host and server.
    std::size_t subset = 24;
    /// Between two `GET /load` of one server.
    core::duration load_poll = std::chrono::milliseconds(250);
    /// Questions for load a second, all servers together: with many servers
    /// each is asked less often.
    std::size_t polls_per_second = 40;
    /// How long an answer to it is waited for.
    core::duration load_timeout = std::chrono::milliseconds(1000);
    /// The largest whole answer of a plain service, in bytes.
    std::size_t answer_bytes = std::size_t{8} * 1024 * 1024;

    friend bool
    operator==(const backend_settings&, const backend_settings&) = default;
};

} // namespace godwit::proxy
