#include <godwit/core/error_kind.hpp>

namespace godwit::core {

std::string_view to_string(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::invalid_input:
        return "invalid_input";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unauthorised:
        return "unauthorised";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::timeout:
        return "timeout";
    case error_kind::protocol:
        return "protocol";
    case error_kind::exhausted:
        return "exhausted";
    case error_kind::expired:
        return "expired";
    }
    return "invalid_input";
}

} // namespace godwit::core
