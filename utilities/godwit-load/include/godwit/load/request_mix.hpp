#pragma once

#include <godwit/core/result.hpp>

#include <string_view>

namespace godwit::load {

/// Shares of the classes and the make of their prompts, after one user's
/// workload.
struct request_mix
{
    double long_streams = 0;
    double short_wholes = 0;
    double confirmations = 0; ///< The rest are bookings.
    /// Lengths of long streams follow a Pareto distribution.
    double shortest_long = 0;
    double tail_exponent = 1.2;
    double longest_long = 0;

    /// The mix of that name: krajevnik or predavka. Fails with
    /// `invalid_input`.
    [[nodiscard]] static core::result<request_mix> named(std::string_view name);

    friend bool operator==(const request_mix&, const request_mix&) = default;
};

} // namespace godwit::load
