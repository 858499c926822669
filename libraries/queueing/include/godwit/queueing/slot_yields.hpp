#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <cstddef>
#include <map>

namespace godwit::queueing {

/// Bounds how long a host leaves a free slot of a server to the more urgent
/// requests of other hosts.
class slot_yields
{
public:
    /// The longest delay in all for one slot.
    static constexpr core::duration max_delay = std::chrono::milliseconds(200);
    /// The delay for each request that goes first, and the interval at which
    /// the first one of all looks for free slots.
    static constexpr core::duration delay_per_request =
        std::chrono::milliseconds(5);
    /// The longest time until a request looks again.
    static constexpr core::duration max_attempt_interval =
        std::chrono::milliseconds(50);

    /// Returns the time until the next attempt of a request that found no free
    /// slot and is outranked by so many requests of other hosts.
    [[nodiscard]] static core::duration
    attempt_interval(std::size_t outranking) noexcept;

    /// The services with slots left to others at a time; beyond, slots are
    /// taken at once.
    static constexpr std::size_t max_services = 64;

    /// Returns the time until the next attempt of a request that found a free
    /// slot at the server and is outranked by so many requests of other hosts;
    /// zero if it may take the slot.
    [[nodiscard]] core::duration delay(
        const core::service_name& service,
        const placement::server_id& server,
        std::size_t outranking,
        core::time_point now);

    /// Records that no server of the service has a free slot.
    void record_no_slot(const core::service_name& service)
    {
        slots_.erase(service);
    }

private:
    struct free_slot
    {
        placement::server_id server;
        core::time_point found_at;
        core::time_point last_found_at;
    };

    /// The slot that was found last.
    std::map<core::service_name, free_slot> slots_;
};

} // namespace godwit::queueing
