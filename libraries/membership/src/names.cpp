#include <godwit/membership/events.hpp>
#include <godwit/membership/server_state.hpp>
#include <godwit/membership/sign.hpp>

namespace godwit::membership {

std::string_view to_string(server_state value) noexcept
{
    switch (value) {
    case server_state::live:
        return "live";
    case server_state::suspect:
        return "suspect";
    case server_state::ejected:
        return "ejected";
    case server_state::leaving:
        return "leaving";
    case server_state::gone:
        return "gone";
    }
    return "gone";
}

std::string_view to_string(sign value) noexcept
{
    switch (value) {
    case sign::leaving:
        return "leaving";
    case sign::suspect:
        return "suspect";
    }
    return "suspect";
}

std::string_view to_string(sighting value) noexcept
{
    switch (value) {
    case sighting::answered:
        return "answered";
    case sighting::refused:
        return "refused";
    case sighting::timed_out:
        return "timed_out";
    case sighting::failed:
        return "failed";
    case sighting::leaving:
        return "leaving";
    case sighting::probe_passed:
        return "probe_passed";
    case sighting::probe_failed:
        return "probe_failed";
    }
    return "failed";
}

} // namespace godwit::membership
