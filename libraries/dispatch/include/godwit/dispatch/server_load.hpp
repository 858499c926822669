#pragma once

#include <godwit/core/time.hpp>
#include <godwit/dispatch/load_reported.hpp>

#include <cstdint>
#include <deque>

namespace godwit::dispatch {

/// A backend server's load: its last report, advanced by what this host did
/// since the report's own time, and by as much for each other entry host.
/// Memory is bounded: changes are summed in slots of 20 ms, and after
/// `max_slots` the oldest are merged.
class server_load
{
public:
    static constexpr std::size_t max_slots = 512;

    /// So many entry hosts send to the server, this one included.
    void share_between(std::uint32_t entry_hosts) noexcept;

    /// Takes a report; one older than the last is ignored.
    void report(const load_reported& value);

    /// This host changed the load by so many requests and tokens.
    void
    record(core::time_point now, std::int64_t running, std::int64_t tokens);

    /// Requests at the server, those that it queues included.
    [[nodiscard]] double running() const noexcept;

    /// Tokens in its memory.
    [[nodiscard]] double memory_tokens() const noexcept;

    /// Requests that the server itself said it queues.
    [[nodiscard]] std::uint32_t waiting() const noexcept;

    /// Tokens that fit its memory, as reported; 0 where unknown.
    [[nodiscard]] std::uint64_t memory_capacity() const noexcept;

    /// Slots of changes that it keeps.
    [[nodiscard]] std::size_t slot_count() const noexcept
    {
        return slots_.size();
    }

private:
    struct slot
    {
        core::time_point at;
        std::int64_t running = 0;
        std::int64_t tokens = 0;
    };

    load_reported last_;
    std::uint32_t entry_hosts_ = 1;
    bool has_report_ = false;
    std::deque<slot> slots_;
    std::int64_t running_since_ = 0;
    std::int64_t tokens_since_ = 0;
};

} // namespace godwit::dispatch
