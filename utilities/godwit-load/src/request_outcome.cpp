#include <godwit/load/request_outcome.hpp>

namespace godwit::load {

std::string_view to_string(request_outcome value) noexcept
{
    switch (value) {
    case request_outcome::completed:
        return "completed";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::interrupted:
        return "interrupted";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::rejected:
        return "rejected";
    case request_outcome::broken:
        return "broken";
    case request_outcome::timed_out:
        return "timed_out";
    case request_outcome::not_sent:
        return "not_sent";
    }
    return "unknown";
}

} // namespace godwit::load
