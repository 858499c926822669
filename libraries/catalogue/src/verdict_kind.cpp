#include <godwit/catalogue/verdict_kind.hpp>

namespace godwit::catalogue {

std::string_view to_string(verdict_kind kind) noexcept
{
    switch (kind) {
    case verdict_kind::accepted:
        return "accepted";
    case verdict_kind::refused:
        return "refused";
    case verdict_kind::repeated:
        return "repeated";
    case verdict_kind::no_change:
        return "no_change";
    }
    return "no_change";
}

} // namespace godwit::catalogue
