#include <godwit/platform/append_failure_kind.hpp>

namespace godwit::platform {

std::string_view to_string(append_failure_kind kind) noexcept
{
    switch (kind) {
    case append_failure_kind::effect_unknown:
        return "effect_unknown";
    case append_failure_kind::rate_limited:
        return "rate_limited";
    case append_failure_kind::unavailable:
        return "unavailable";
    case append_failure_kind::rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace godwit::platform
