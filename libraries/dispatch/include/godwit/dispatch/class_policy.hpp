#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <optional>

namespace godwit::dispatch {

/// What the catalogue grants a class of requests.
struct class_policy
{
    /// The class.
    core::request_class_name name;
    /// Its share of tokens against other classes, above 0.
    double weight = 1.0;
    /// Share of each engine's memory kept for it, 0 to 1.
    double memory_floor = 0.0;
    /// Share of starts guaranteed while it has queued requests, 0 to 1.
    double start_floor = 0.0;
    /// How long a request may be queued, whatever its deadline; a wait that
    /// will be longer is refused at once. None is no limit.
    std::optional<core::duration> longest_wait;
    /// Engine priority of a fresh start, 0 to 8; 9 is kept for protected
    /// generations.
    int priority = 4;

    friend bool operator==(const class_policy&, const class_policy&) = default;
};

} // namespace godwit::dispatch
