#include <godwit/load/request_class.hpp>

namespace godwit::load {

std::string_view to_string(request_class value) noexcept
{
    switch (value) {
    case request_class::long_stream:
        return "long_stream";
    case request_class::short_whole:
        return "short_whole";
    case request_class::confirmation:
        return "confirmation";
    case request_class::booking:
        return "booking";
    }
    return "long_stream";
}

} // namespace godwit::load
