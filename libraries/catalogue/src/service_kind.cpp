#include <godwit/catalogue/service_kind.hpp>

namespace godwit::catalogue {

std::string_view to_string(service_kind kind) noexcept
{
    switch (kind) {
    case service_kind::engine_pool:
        return "engine_pool";
    case service_kind::plain:
        return "plain";
    }
    return "plain";
}

} // namespace godwit::catalogue
