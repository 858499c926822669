#pragma once

#include <godwit/core/error.hpp>
#include <godwit/core/time.hpp>
#include <godwit/platform/append_failure_kind.hpp>

namespace godwit::platform {

/// Why an append failed, and whether it may have taken effect.
struct append_failure
{
    append_failure_kind kind = append_failure_kind::effect_unknown;
    core::error cause;

    /// Minimum delay before a retry; 0 if unknown.
    core::duration retry_after{0};

    friend bool
    operator==(const append_failure&, const append_failure&) = default;
};

} // namespace godwit::platform
