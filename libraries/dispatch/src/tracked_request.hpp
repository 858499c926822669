#pragma once

#include <godwit/core/time.hpp>
#include <godwit/dispatch/request_arrived.hpp>

#include <cstdint>

namespace godwit::dispatch {

struct flow;
struct server_account;
struct service_queue;

/// A request from its arrival until it ended or was refused.
struct tracked_request
{
    request_arrived arrival;
    core::time_point arrived_at;
    /// When it is refused if it still waits.
    core::time_point start_by = core::time_point::max();
    /// The order of arrival at this host.
    std::uint64_t sequence = 0;
    service_queue* service = nullptr;
    flow* owner = nullptr;
    /// Where it runs; null while it is queued.
    server_account* server = nullptr;
    std::uint32_t tokens = 0;
    /// Length that admission reserved for, and from which length on the
    /// estimate is asked again.
    std::uint32_t expected_length = 0;
    std::uint32_t estimate_until = 0;
    std::uint32_t times_preempted = 0;
    /// An engine pushed it off and sent no token since.
    bool pushed_off = false;

    /// Tokens still expected.
    [[nodiscard]] std::uint32_t expected_rest() const noexcept
    {
        return expected_length > tokens ? expected_length - tokens : 0;
    }
};

} // namespace godwit::dispatch
