#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace godwit::load {

/// What a run was asked for, so that a report can be repeated.
struct run_parameters
{
    std::string mix;
    double requests_per_second = 0;
    double seconds = 0;
    std::uint64_t seed = 0;
    std::size_t entries = 0;
    bool reconnects = false;

    friend bool
    operator==(const run_parameters&, const run_parameters&) = default;
};

} // namespace godwit::load
