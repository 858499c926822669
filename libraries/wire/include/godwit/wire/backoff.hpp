#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/wire/backoff_options.hpp>

#include <cstdint>

namespace godwit::wire {

/// Exponential backoff with jitter.
class backoff
{
public:
    backoff(const backoff_options& options, std::uint64_t seed) noexcept
        : options_(options), random_(seed), ceiling_(options.initial_delay)
    {}

    /// The wait before the next try.
    [[nodiscard]] core::duration next() noexcept;

    /// Called after a success: the next wait is short again.
    void reset() noexcept { ceiling_ = options_.initial_delay; }

private:
    backoff_options options_;
    core::random random_;
    core::duration ceiling_;
};

} // namespace godwit::wire
