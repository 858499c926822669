#include <godwit/request/timer.hpp>

namespace godwit::request {

std::string_view to_string(timer value) noexcept
{
    switch (value) {
    case timer::deadline:
        return "deadline";
    case timer::claim:
        return "claim";
    case timer::connect:
        return "connect";
    case timer::head:
        return "head";
    case timer::stall:
        return "stall";
    case timer::retry:
        return "retry";
    case timer::orphan:
        return "orphan";
    case timer::end:
        return "end";
    }
    return "end";
}

} // namespace godwit::request
