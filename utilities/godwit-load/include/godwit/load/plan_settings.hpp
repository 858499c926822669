#pragma once

#include <godwit/core/time.hpp>
#include <godwit/load/request_mix.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace godwit::load {

/// What a plan is drawn from.
struct plan_settings
{
    request_mix mix;
    double requests_per_second = 1;
    core::duration span{};
    std::uint64_t seed = 1;
    /// Part of every idempotency key. Entry hosts remember keys for longer
    /// than a run, so a second run needs another name.
    std::string run;
    std::size_t entries = 1; ///< Entry hosts to spread over.
    std::size_t tokens = 1;  ///< Organisations to spread over.
};

} // namespace godwit::load
