#include <godwit/core/outcome.hpp>

namespace godwit::core {

std::string_view to_string(outcome value) noexcept
{
    switch (value) {
    case outcome::completed:
        return "completed";
    case outcome::not_run:
        return "not_run";
    case outcome::interrupted:
        return "interrupted";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace godwit::core
