#pragma once

#include <godwit/core/time.hpp>
#include <godwit/platform/append_budget_options.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::platform {

/// Times and bounds of one host's dealings with the log.
struct log_client_options
{
    /// After this an append's effect is unknown.
    core::duration append_timeout = std::chrono::seconds(2);

    /// How long a read may take beyond the wait that it asks for.
    core::duration read_timeout = std::chrono::seconds(3);

    /// The largest answer to one read, in bytes; a larger one fails.
    std::size_t max_page_bytes = std::size_t{8} * 1024 * 1024;

    append_budget_options budget;

    friend bool
    operator==(const log_client_options&, const log_client_options&) = default;
};

} // namespace godwit::platform
