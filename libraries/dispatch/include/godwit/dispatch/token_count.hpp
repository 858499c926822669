#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// Tokens of one request.
struct token_count
{
    /// The request.
    core::request_id id;
    /// How many arrived.
    std::uint32_t tokens = 0;

    friend bool operator==(const token_count&, const token_count&) = default;
};

} // namespace godwit::dispatch
