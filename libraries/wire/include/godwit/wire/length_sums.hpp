#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The weights of the output lengths of a route's generations, by bucket.
struct route_lengths
{
    std::string route;
    std::vector<float> ended;  ///< Of those that ended in the bucket.
    std::vector<float> passed; ///< Of those that grew beyond it.
    float compared = 0;        ///< Weight of the compared estimates.
    float estimate_error = 0;  ///< Sum of the errors of callers' estimates.
    float observed_error = 0;  ///< Sum of those of the observed median.

    friend bool
    operator==(const route_lengths&, const route_lengths&) = default;
};

/// Medians of the observed speeds of a service's engines.
struct service_speed
{
    std::string service;
    float prefill_tokens_per_ms = 0;
    std::uint32_t prefills = 0; ///< Number of observations.
    float step_ms = 0;
    std::uint32_t steps = 0; ///< Number of observations.

    friend bool
    operator==(const service_speed&, const service_speed&) = default;
};

/// What the sender itself has observed of generations.
struct length_sums
{
    std::vector<route_lengths> routes;
    std::vector<service_speed> speeds;

    friend bool operator==(const length_sums&, const length_sums&) = default;
};

} // namespace godwit::wire
