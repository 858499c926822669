#include <godwit/catalogue/refusal_reason.hpp>

namespace godwit::catalogue {

std::string_view to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::malformed:
        return "malformed";
    case refusal_reason::conflict:
        return "conflict";
    case refusal_reason::not_owner:
        return "not_owner";
    case refusal_reason::invalid_reference:
        return "invalid_reference";
    case refusal_reason::limit_reached:
        return "limit_reached";
    case refusal_reason::change_id_reused:
        return "change_id_reused";
    }
    return "malformed";
}

} // namespace godwit::catalogue
