#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// An engine pushed a generation off; it goes on there later.
struct generation_preempted
{
    /// The request.
    core::request_id id;
    /// How often this happened to it on this engine.
    std::uint32_t count = 0;

    friend bool operator==(
        const generation_preempted&, const generation_preempted&) = default;
};

} // namespace godwit::dispatch
