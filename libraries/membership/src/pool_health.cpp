// State changes that follow from observations of the servers.

#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>

namespace godwit::membership {

void pool::on_success(const core::server_address& server, member& entry)
{
    entry.answered_at = now_;
    switch (entry.state) {
    case server_state::live:
        entry.failures = 0;
        return;
    case server_state::suspect:
        entry.failures = 0;
        set_state(server, entry, server_state::live, "it responds");
        return;
    case server_state::ejected:
        // A response to a request that was sent before the ejection does not
        // end it early.
        if (now_ < entry.ejected_until)
            return;
        entry.failures = 0;
        set_state(
            server,
            entry,
            server_state::live,
            "it responds after the ejection");
        return;
    case server_state::leaving:
    case server_state::gone:
        try_to_restore(server, entry);
        return;
    }
}

// A new host may get the address of one that left.
void pool::try_to_restore(const core::server_address& server, member& entry)
{
    const bool hold_is_over =
        now_ - entry.leaving_since >= settings_.leaving_hold;
    if (!hold_is_over || !entry.listed_live)
        return;
    entry.failures = 0;
    entry.ejections = 0;
    set_state(server, entry, server_state::live, "listed and responding again");
}

void pool::on_failure(
    const core::server_address& server,
    member& entry,
    health_observation observation)
{
    if (entry.state == server_state::leaving) {
        if (observation == health_observation::refused ||
            observation == health_observation::probe_failed)
            set_state(
                server, entry, server_state::gone, to_string(observation));
        return;
    }
    if (entry.state == server_state::gone)
        return;
    ++entry.failures;
    if (observation == health_observation::refused &&
        entry.state == server_state::live)
        emit(forward_notice{server, server_notice::suspect});
    if (entry.state == server_state::ejected) {
        // Only a failure after the ejection's end prolongs it: earlier ones
        // come from requests that were sent before.
        if (now_ >= entry.ejected_until)
            eject(server, entry, to_string(observation));
        return;
    }
    const bool should_eject = observation == health_observation::refused ||
                              entry.failures >= settings_.failure_limit;
    if (should_eject && may_eject(entry)) {
        eject(server, entry, to_string(observation));
        return;
    }
    set_state(server, entry, server_state::suspect, to_string(observation));
}

void pool::eject(
    const core::server_address& server, member& entry, std::string_view reason)
{
    entry.ejected_until = now_ + next_ejection_time(entry.ejections);
    entry.probe_due = entry.ejected_until;
    ++entry.ejections;
    set_state(server, entry, server_state::ejected, reason);
}

// At most half of the servers of one service are ejected. If more than half
// seem to fail, this host is more likely at fault, and the remaining servers
// could not carry the load. Each service counts for itself.
bool pool::may_eject(const member& candidate) const
{
    std::size_t size = 0;
    std::size_t ejected = 0;
    for (const auto& [server, entry] : members_) {
        if (entry.service != candidate.service)
            continue;
        if (entry.state == server_state::leaving ||
            entry.state == server_state::gone)
            continue;
        ++size;
        ejected += entry.state == server_state::ejected ? 1 : 0;
    }
    return (ejected + 1) * 2 <= size;
}

core::duration pool::next_ejection_time(std::uint32_t earlier)
{
    core::duration result = settings_.ejection_base;
    for (std::uint32_t count = 0;
         count < earlier && result < settings_.ejection_limit;
         ++count)
        result *= 2;
    result = std::min(result, settings_.ejection_limit);
    // Up to a quarter of jitter, so that hosts do not all retry at once.
    const auto spread = static_cast<std::uint64_t>(result.count() / 4 + 1);
    return result + core::duration(static_cast<core::duration::rep>(
                        random_.below(spread)));
}

void pool::begin_leaving(
    const core::server_address& server, member& entry, std::string_view reason)
{
    if (entry.state == server_state::leaving) {
        entry.leaving_since = now_;
        return;
    }
    if (entry.state == server_state::gone)
        return;
    entry.leaving_since = now_;
    set_state(server, entry, server_state::leaving, reason);
    emit(forward_notice{server, server_notice::leaving});
}

} // namespace godwit::membership
