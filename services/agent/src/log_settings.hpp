#pragma once

#include <godwit/core/time.hpp>
#include <godwit/platform/log_client_options.hpp>

#include <chrono>

namespace godwit::agent {

/// How the agent deals with the platform's log.
struct log_settings
{
    /// How long one read waits at the log for a record. A log that vanished
    /// without a word is noticed after this and the read timeout.
    core::duration wait = std::chrono::seconds(5);

    platform::log_client_options client;

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

} // namespace godwit::agent
