#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>

namespace godwit::fakes {

/// What an engine is asked to generate.
struct generation_order
{
    core::generation_id id;
    std::string model;
    std::string prompt;
    std::uint64_t max_tokens = 1024;
    int priority = 0; ///< 0 to 9, higher first.
};

} // namespace godwit::fakes
