#pragma once

#include <atomic>

namespace godwit::proxy {

/// What the process says of itself to balancers, from any thread.
struct process_state
{
    std::atomic<bool> has_catalogue{false};
    std::atomic<bool> draining{false};
    std::atomic<bool> has_agent{false};

    /// Whether the balancer may send requests here.
    [[nodiscard]] bool is_ready() const noexcept
    {
        return has_catalogue.load() && !draining.load();
    }
};

} // namespace godwit::proxy
