#include "claimer_state.hpp"

#include <algorithm>
#include <utility>

namespace godwit::claims {

claimer::state::state(
    claimer_settings settings, ledger claims, core::time_point now)
    : settings_(std::move(settings)), ledger_(std::move(claims)),
      plan_(settings_), budget_(now), reader_(settings_),
      random_(settings_.claimer), now_(now), newest_read_at_(now)
{
    budget_.set_rate(plan_.own_rate(), now);
}

std::vector<claimer_action>
claimer::state::handle(const claimer_event& event, core::time_point now)
{
    now_ = std::max(now_, now);
    actions_.clear();
    // What is late is given up before anything else, so that an event that
    // waited while the process stood still finds nothing to grant.
    give_up_late_works();
    std::visit([this](const auto& value) { on(value); }, event);
    time_out_appends();
    time_out_forwards();
    if (reader_.overdue(now_))
        log_is_down();
    flush();
    flush_forwards();
    read();
    note_alarms();
    return std::move(actions_);
}

void claimer::state::on(const tick&) {}

// A claim does not lapse, so a pause endangers nothing that was granted. What
// was not granted yet is given up: how long it truly waited is not known if
// the monotonic clock stood still too.
void claimer::state::on(const resumed_after_pause& event)
{
    if (event.length >= settings_.append_timeout)
        answer_all_works(unavailable_reason::timed_out);
    settle_wanted_ = true;
}

void claimer::state::on(const entry_hosts_changed& event)
{
    plan_.set_hosts(event);
    budget_.set_rate(plan_.own_rate(), now_);
}

core::time_point claimer::state::next_wakeup() const
{
    auto wakeup = reader_.next_wakeup();
    const auto sooner = [&wakeup](core::time_point time) {
        wakeup = std::min(wakeup, time);
    };
    if (const auto due = outbox_.earliest_due();
        due && outbox_.appends_under_way() < settings_.appends_in_flight_limit)
        sooner(std::max({*due, appends_held_until_, budget_.ready_at()}));
    if (const auto begun = outbox_.oldest_append())
        sooner(*begun + settings_.append_timeout);
    if (const auto since = outbox_.oldest(outbox_stage::forwarded))
        sooner(*since + settings_.forward_timeout);
    if (const auto since = outbox_.oldest(outbox_stage::unsettled);
        since && !settle_wanted_ && !reader_.settling())
        sooner(*since + settings_.append_timeout);
    for (const auto& [key, work] : works_)
        sooner(work.asked_at + settings_.ask_timeout);
    return std::max(wakeup, now_ + core::duration(1));
}

std::size_t claimer::state::pending_asks() const
{
    std::size_t count = 0;
    for (const auto& [key, work] : works_)
        count += work.asks.size();
    return count;
}

void claimer::state::note_alarms()
{
    if (ledger_.early_trims() != alarmed_trims_)
        actions_.emplace_back(raise_alarm{claims_alarm::early_trim});
    if (ledger_.bad_records() != alarmed_bad_records_)
        actions_.emplace_back(raise_alarm{claims_alarm::bad_record});
    alarmed_trims_ = ledger_.early_trims();
    alarmed_bad_records_ = ledger_.bad_records();
}

} // namespace godwit::claims
