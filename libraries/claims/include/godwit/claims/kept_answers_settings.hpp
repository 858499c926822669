#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>

namespace godwit::claims {

/// The bounds of a proxy's store of answers.
struct kept_answers_settings
{
    /// Finished answers kept, at most.
    std::size_t answer_limit = 10'000;

    /// Bytes of finished answers kept, at most. An answer larger than an
    /// eighth of it is not kept.
    std::size_t byte_limit = std::size_t{32} * 1024 * 1024;

    /// Runs under way, at most; a further one may not start.
    std::size_t run_limit = 2'000;

    /// How long a finished answer is kept.
    core::duration lifetime = std::chrono::minutes(15);

    friend bool operator==(
        const kept_answers_settings&, const kept_answers_settings&) = default;
};

} // namespace godwit::claims
