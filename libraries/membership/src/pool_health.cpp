// What is seen of the servers themselves.

#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>

namespace godwit::membership {

void pool::on_success(const core::server_address& server, member& known)
{
    known.answered_at = now_;
    switch (known.state) {
    case server_state::live:
        known.failures = 0;
        return;
    case server_state::suspect:
        known.failures = 0;
        move_to(server, known, server_state::live, "it answers");
        return;
    case server_state::ejected:
        // An answer to work that it got earlier ends no ejection early.
        if (now_ < known.ejected_until)
            return;
        known.failures = 0;
        move_to(server, known, server_state::live, "it answers again");
        return;
    case server_state::leaving:
    case server_state::gone:
        try_to_revive(server, known);
        return;
    }
}

// The address of a host that left may be given to a new one.
void pool::try_to_revive(const core::server_address& server, member& known)
{
    const bool hold_is_over =
        now_ - known.leaving_since >= settings_.leaving_hold;
    if (!hold_is_over || !known.listed_live)
        return;
    known.failures = 0;
    known.ejections = 0;
    move_to(server, known, server_state::live, "listed and answering again");
}

void pool::on_failure(
    const core::server_address& server, member& known, health_observation what)
{
    if (known.state == server_state::leaving) {
        if (what == health_observation::refused ||
            what == health_observation::probe_failed)
            move_to(server, known, server_state::gone, to_string(what));
        return;
    }
    if (known.state == server_state::gone)
        return;
    ++known.failures;
    if (what == health_observation::refused &&
        known.state == server_state::live)
        emit(forward_notice{server, server_notice::suspect});
    if (known.state == server_state::ejected) {
        // Only what happens after the ejection's end prolongs it: failures
        // of work sent before are late news.
        if (now_ >= known.ejected_until)
            eject(server, known, to_string(what));
        return;
    }
    const bool enough = what == health_observation::refused ||
                        known.failures >= settings_.failure_limit;
    if (enough && may_eject(known)) {
        eject(server, known, to_string(what));
        return;
    }
    move_to(server, known, server_state::suspect, to_string(what));
}

void pool::eject(
    const core::server_address& server, member& known, std::string_view why)
{
    known.ejected_until = now_ + next_ejection_time(known.ejections);
    known.probe_due = known.ejected_until;
    ++known.ejections;
    move_to(server, known, server_state::ejected, why);
}

// Half of a service's pool stays whatever happens: when more than half seem
// to fail, the trouble is more likely this host's own, and the rest could not
// carry the load. It is the pool of this service that counts.
bool pool::may_eject(const member& candidate) const
{
    std::size_t size = 0;
    std::size_t ejected = 0;
    for (const auto& [server, known] : members_) {
        if (known.service != candidate.service)
            continue;
        if (known.state == server_state::leaving ||
            known.state == server_state::gone)
            continue;
        ++size;
        ejected += known.state == server_state::ejected ? 1 : 0;
    }
    return (ejected + 1) * 2 <= size;
}

core::duration pool::next_ejection_time(std::uint32_t earlier)
{
    core::duration time = settings_.ejection_base;
    for (std::uint32_t done = 0;
         done < earlier && time < settings_.ejection_limit;
         ++done)
        time *= 2;
    time = std::min(time, settings_.ejection_limit);
    // A quarter of jitter, so that hosts do not all come back at once.
    const auto spread = static_cast<std::uint64_t>(time.count() / 4 + 1);
    return time + core::duration(
                      static_cast<core::duration::rep>(random_.below(spread)));
}

void pool::begin_leaving(
    const core::server_address& server, member& known, std::string_view why)
{
    if (known.state == server_state::leaving) {
        known.leaving_since = now_;
        return;
    }
    if (known.state == server_state::gone)
        return;
    known.leaving_since = now_;
    move_to(server, known, server_state::leaving, why);
    emit(forward_notice{server, server_notice::leaving});
}

} // namespace godwit::membership
