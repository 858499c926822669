#include <godwit/dispatch/placement_reason.hpp>

namespace godwit::dispatch {

std::string_view to_string(placement_reason reason) noexcept
{
    switch (reason) {
    case placement_reason::prefix:
        return "prefix";
    case placement_reason::least_load:
        return "least_load";
    case placement_reason::other_zone:
        return "other_zone";
    }
    return "least_load";
}

} // namespace godwit::dispatch
