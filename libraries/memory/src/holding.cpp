#include <godwit/memory/holding.hpp>

namespace godwit::memory {

std::string_view to_string(activity doing) noexcept
{
    switch (doing) {
    case activity::idle:
        return "idle";
    case activity::receiving:
        return "receiving";
    case activity::serving:
        return "serving";
    case activity::sending:
        return "sending";
    case activity::closing:
        return "closing";
    }
    return "idle";
}

} // namespace godwit::memory
