#include <godwit/catalogue/catalogue_source.hpp>

namespace godwit::catalogue {

std::string_view to_string(catalogue_source source) noexcept
{
    switch (source) {
    case catalogue_source::none:
        return "none";
    case catalogue_source::log:
        return "log";
    case catalogue_source::peer:
        return "peer";
    case catalogue_source::checkpoint:
        return "checkpoint";
    }
    return "none";
}

} // namespace godwit::catalogue
