#pragma once

#include <godwit/core/time.hpp>
#include <godwit/platform/append_budget_options.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::platform {

/// Timeouts and limits of a log client.
struct log_client_options
{
    /// Time after which the effect of an append counts as unknown.
    core::duration append_timeout = std::chrono::seconds(2);

    /// Timeout of a read, in addition to the `wait` of its request.
    core::duration read_timeout = std::chrono::seconds(3);

    /// Largest response to a read, in bytes; the read of a larger one fails.
    std::size_t max_page_bytes = std::size_t{8} * 1024 * 1024;

    append_budget_options budget;

    friend bool
    operator==(const log_client_options&, const log_client_options&) = default;
};

} // namespace godwit::platform
