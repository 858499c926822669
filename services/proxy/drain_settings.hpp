#pragma once

#include <godwit/core/time.hpp>

#include <chrono>

namespace godwit::proxy {

/// How a graceful stop goes.
struct drain_settings
{
    /// From the failing of `/readyz` to the end of listening, so that the
    /// balancer notices first.
    core::duration readiness = std::chrono::seconds(2);
    /// From the signal to the end of whatever still runs.
    core::duration limit = std::chrono::minutes(10);

    friend bool
    operator==(const drain_settings&, const drain_settings&) = default;
};

} // namespace godwit::proxy
