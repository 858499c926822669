#include <godwit/membership/events.hpp>
#include <godwit/membership/server_notice.hpp>
#include <godwit/membership/server_state.hpp>

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

std::string_view to_string(server_notice value) noexcept
{
    switch (value) {
    case server_notice::leaving:
        return "leaving";
    case server_notice::suspect:
        return "suspect";
    }
    return "suspect";
}

std::string_view to_string(health_observation value) noexcept
{
    switch (value) {
    case health_observation::answered:
        return "answered";
    case health_observation::refused:
        return "refused";
    case health_observation::timed_out:
        return "timed_out";
    case health_observation::failed:
        return "failed";
    case health_observation::leaving:
        return "leaving";
    case health_observation::probe_passed:
        return "probe_passed";
    case health_observation::probe_failed:
        return "probe_failed";
    }
    return "failed";
}

} // namespace godwit::membership
