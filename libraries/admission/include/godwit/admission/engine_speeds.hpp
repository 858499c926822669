#pragma once

#include <godwit/core/result.hpp>

#include <cstdint>

namespace godwit::admission {

/// The median of some observations.
struct observed_median
{
    double value = 0;
    std::uint32_t observations = 0; ///< 0 if there is no value.

    friend bool
    operator==(const observed_median&, const observed_median&) = default;
};

/// The observed speeds of a service's engines.
struct engine_speeds
{
    /// Prefill rate of a busy engine that nothing is known about. An engine
    /// prefills 14 tokens per millisecond, but alternates with decoding steps
    /// of 7 ms for its running generations, which take about as long as the
    /// prefill between them and so halve the rate.
    static constexpr double usual_prefill_tokens_per_ms = 7.0;
    /// Time that such an engine takes for one token of a generation.
    static constexpr double usual_step_ms = 10.0;

    observed_median prefill_tokens_per_ms;
    observed_median step_ms;

    /// Converts the speeds that another host observed. Fails with `protocol` if
    /// a value is out of range.
    [[nodiscard]] static core::result<engine_speeds> create(
        const observed_median& prefill_tokens_per_ms,
        const observed_median& step_ms);

    friend bool
    operator==(const engine_speeds&, const engine_speeds&) = default;
};

} // namespace godwit::admission
