#pragma once

#include <godwit/catalogue/length_hint.hpp>
#include <godwit/core/identifiers.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::catalogue {

/// How the requests of one class share the engines with the other classes.
struct request_class
{
    core::request_class_name name;
    core::operator_name owner;
    std::uint64_t version = 0; ///< 0 until a change set is accepted.
    std::uint32_t weight = 1;  ///< Share of tokens above the floors.
    /// Engine memory kept for the class, in thousandths of a pool.
    std::uint32_t memory_floor_per_mille = 0;
    /// Starts kept for the class, in thousandths of all starts.
    std::uint32_t starts_floor_per_mille = 0;
    std::uint32_t priority = 0; ///< 0 to 9, higher first.
    length_hint hint = length_hint::unknown;
    /// How long a request may be queued, whatever its deadline; 0: no bound.
    std::chrono::milliseconds longest_wait{0};

    friend bool
    operator==(const request_class&, const request_class&) = default;
};

} // namespace godwit::catalogue
