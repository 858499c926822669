#pragma once

#include "prefix_knowledge.hpp"

#include <godwit/core/time.hpp>
#include <godwit/dispatch/backend_server.hpp>
#include <godwit/dispatch/server_load.hpp>

#include <cstdint>
#include <unordered_map>

namespace godwit::dispatch {

class class_queue;

/// What a scheduler knows of one backend server.
struct server_account
{
    backend_server description;
    std::uint64_t address_hash = 0;
    /// Whether it may receive new work.
    bool eligible = true;
    server_load load;
    prefix_knowledge prefixes;
    /// This host's requests there.
    std::uint32_t own_running = 0;
    /// Tokens by which they are still expected to grow.
    double own_expected = 0.0;
    /// Those of them that are pushed off.
    std::uint32_t own_pushed_off = 0;
    /// Memory taken or expected by this host's classes.
    std::unordered_map<const class_queue*, double> class_tokens;
    /// It failed to start something: nothing fresh until then.
    core::time_point avoid_until{};

    /// Tokens that fit its memory; 0 where that is no limit.
    [[nodiscard]] double memory_capacity() const noexcept
    {
        const std::uint64_t reported = load.memory_capacity();
        return static_cast<double>(
            reported > 0 ? reported : description.capacity.memory_tokens);
    }

    /// Requests there that other hosts sent.
    [[nodiscard]] double foreign_running() const noexcept
    {
        const double foreign = load.running() - own_running;
        return foreign > 0.0 ? foreign : 0.0;
    }
};

} // namespace godwit::dispatch
