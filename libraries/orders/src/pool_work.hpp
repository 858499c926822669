#pragma once

#include "engine_work.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <map>

namespace godwit::orders {

/// A pool whose lease this agent holds.
struct pool_work
{
    std::uint64_t fencing = 0;

    /// The lease counts as lapsed from here on.
    core::time_point valid_until;
    core::time_point renew_at;
    core::time_point next_load_at;
    std::map<core::server_address, engine_work> engines;
    bool reached = false;
    bool missing_alarmed = false;
    bool held_back_alarmed = false;
};

} // namespace godwit::orders
