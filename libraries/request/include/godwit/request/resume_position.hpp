#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::request {

/// Where a stream goes on: the next token of one generation on one backend
/// server.
struct resume_position
{
    core::server_address server;
    core::generation_id generation;
    std::uint64_t offset = 0;

    friend bool
    operator==(const resume_position&, const resume_position&) = default;
};

} // namespace godwit::request
