#include <godwit/claims/claim_answer.hpp>

namespace godwit::claims {

std::string_view to_string(unavailable_reason reason) noexcept
{
    switch (reason) {
    case unavailable_reason::log_down:
        return "log_down";
    case unavailable_reason::timed_out:
        return "timed_out";
    case unavailable_reason::catching_up:
        return "catching_up";
    case unavailable_reason::history_incomplete:
        return "history_incomplete";
    case unavailable_reason::overloaded:
        return "overloaded";
    case unavailable_reason::releasing:
        return "releasing";
    case unavailable_reason::invalid_holder:
        return "invalid_holder";
    }
    return "log_down";
}

} // namespace godwit::claims
