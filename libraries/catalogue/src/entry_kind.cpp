#include <godwit/catalogue/entry_kind.hpp>

namespace godwit::catalogue {

std::string_view to_string(entry_kind kind) noexcept
{
    switch (kind) {
    case entry_kind::organisation:
        return "organisation";
    case entry_kind::service:
        return "service";
    case entry_kind::request_class:
        return "class";
    }
    return "organisation";
}

} // namespace godwit::catalogue
