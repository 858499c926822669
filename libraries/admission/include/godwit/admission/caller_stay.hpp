#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/core/time.hpp>

#include <optional>

namespace godwit::admission {

/// What determines how long the caller of a stream stays.
struct stay_parameters
{
    core::time_point arrival_time;
    core::time_point deadline;
    core::duration objective{};
    core::duration gap_objective{};
    std::optional<generation_size> size;

    friend bool
    operator==(const stay_parameters&, const stay_parameters&) = default;
};

/// Returns the latest time at which a stream may start so that its caller gets
/// the first event before it abandons the stream, and the last one before the
/// deadline.
[[nodiscard]] core::time_point latest_start(const stay_parameters& parameters);

} // namespace godwit::admission
