#include <godwit/catalogue/length_hint.hpp>

namespace godwit::catalogue {

std::string_view to_string(length_hint hint) noexcept
{
    switch (hint) {
    case length_hint::unknown:
        return "unknown";
    case length_hint::short_answers:
        return "short";
    case length_hint::long_answers:
        return "long";
    }
    return "unknown";
}

} // namespace godwit::catalogue
