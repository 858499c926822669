#include <godwit/catalogue/alarm_kind.hpp>

namespace godwit::catalogue {

std::string_view to_string(alarm_kind kind) noexcept
{
    switch (kind) {
    case alarm_kind::trimmed_without_checkpoint:
        return "trimmed_without_checkpoint";
    case alarm_kind::two_contents:
        return "two_contents";
    case alarm_kind::log_went_back:
        return "log_went_back";
    }
    return "two_contents";
}

} // namespace godwit::catalogue
