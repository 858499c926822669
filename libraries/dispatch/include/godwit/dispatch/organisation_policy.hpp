#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <optional>

namespace godwit::dispatch {

/// Limits of an organisation: this entry host's share of them.
struct organisation_policy
{
    /// The organisation.
    core::organisation_name name;
    /// Generations at once, and calls at once; none is no limit.
    std::optional<std::uint32_t> concurrency;
    /// Output tokens a second, with one second of burst; none is no limit.
    std::optional<double> tokens_per_second;

    friend bool operator==(
        const organisation_policy&, const organisation_policy&) = default;
};

} // namespace godwit::dispatch
