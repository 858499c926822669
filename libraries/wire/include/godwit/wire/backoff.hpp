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

    /// Returns the delay before the next attempt.
    [[nodiscard]] core::duration next() noexcept;

    /// Returns to the initial delay; called after a success.
    void reset() noexcept { ceiling_ = options_.initial_delay; }

private:
    backoff_options options_;
    core::random random_;
    core::duration ceiling_;
};

} // namespace godwit::wire
