#include <godwit/dispatch/refusal_reason.hpp>

namespace godwit::dispatch {

std::string_view to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::no_backend_server:
        return "no_backend_server";
    }
    return "queue_full";
}

} // namespace godwit::dispatch
