#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::http {

/// The bounds of one whole exchange.
struct fetch_limits
{
    /// From the call to the last byte of the answer.
    core::duration deadline = std::chrono::seconds(5);
    /// A larger body fails the exchange with `exhausted`.
    std::size_t body_bytes = std::size_t{1024} * 1024;

    friend bool operator==(const fetch_limits&, const fetch_limits&) = default;
};

} // namespace godwit::http
