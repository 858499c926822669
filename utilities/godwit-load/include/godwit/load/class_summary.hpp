#pragma once

#include <godwit/load/request_outcome.hpp>
#include <godwit/load/sample_set.hpp>

#include <array>
#include <cstdint>

namespace godwit::load {

/// The measures of one class of requests, or of all.
struct class_summary
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t reconnects = 0;
    std::array<std::uint64_t, all_outcomes.size()> outcomes{};
    sample_set stall;      ///< Longest silence of each request.
    sample_set first_text; ///< Of requests to which text came.
    sample_set gaps;       ///< Between texts of streams.
};

} // namespace godwit::load
