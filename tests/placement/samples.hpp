#pragma once

#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <string>

namespace godwit::placement::test {

/// Returns a ready server of "lm" with a port derived from `number`.
inline backend_server sample_server(
    int number, const std::string& zone = "east", std::uint64_t revision = 1)
{
    const std::string id = "i-" + std::to_string(number);
    return {
        server_id(id),
        core::service_name("lm"),
        http::endpoint::parse("127.0.0.1:" + std::to_string(9000 + number))
            .value(),
        core::zone_name(zone),
        4,
        server_state::ready,
        revision};
}

inline backend_server draining(backend_server server)
{
    server.state = server_state::draining;
    ++server.revision;
    return server;
}

inline core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

} // namespace godwit::placement::test
