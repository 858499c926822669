#include <godwit/claims/claimer.hpp>

#include "claimer_state.hpp"

#include <utility>

namespace godwit::claims {

namespace {

core::result<void> check(const claimer_settings& settings)
{
    constexpr core::duration zero(0);
    if (settings.host.empty() || settings.zone.empty())
        return core::fail(
            core::error_kind::invalid_input,
            "the claimer has no host name or availability zone",
            "set host and zone in the agent's settings");
    if (settings.log_rate <= 0 || settings.log_share <= 0 ||
        settings.log_share > 1)
        return core::fail(
            core::error_kind::invalid_input,
            "the claims' share of the log's rate is out of range",
            "set log_rate above 0 and log_share above 0 and at most 1");
    if (settings.key_ranges == 0 || settings.appends_in_flight_limit == 0 ||
        settings.pending_limit == 0 || settings.read_limit == 0)
        return core::fail(
            core::error_kind::invalid_input,
            "a limit of the claimer is zero",
            "set key_ranges, appends_in_flight_limit, pending_limit and "
            "read_limit above 0");
    if (settings.gather < zero || settings.finished_gather < zero ||
        settings.append_timeout <= zero || settings.forward_timeout <= zero ||
        settings.log_retry <= zero || settings.read_wait <= zero)
        return core::fail(
            core::error_kind::invalid_input,
            "a time of the claimer is not above zero",
            "set append_timeout, forward_timeout, log_retry and read_wait "
            "above 0, and gather and finished_gather to 0 or more");
    const core::duration window =
        settings.ledger.retention - settings.ledger.margin;
    if (settings.ask_timeout <= zero ||
        settings.ask_timeout > settings.start_limit ||
        settings.start_limit >= window)
        return core::fail(
            core::error_kind::invalid_input,
            "the claimer's time limits do not fit each other",
            "keep ask_timeout <= start_limit < retention - margin");
    return {};
}

} // namespace

core::result<claimer>
claimer::create(claimer_settings settings, core::time_point now)
{
    if (auto checked = check(settings); !checked)
        return tl::unexpected(checked.error());
    auto claims = GODWIT_TRY(ledger::create(settings.ledger));
    return claimer(
        std::make_unique<state>(std::move(settings), std::move(claims), now));
}

claimer::claimer(std::unique_ptr<state> decisions)
    : state_(std::move(decisions))
{}

claimer::claimer(claimer&&) noexcept = default;
claimer& claimer::operator=(claimer&&) noexcept = default;
claimer::~claimer() = default;

std::vector<claimer_action>
claimer::handle(const claimer_event& event, core::time_point now)
{
    return state_->handle(event, now);
}

core::time_point claimer::next_wakeup() const
{
    return state_->next_wakeup();
}

const ledger& claimer::claims() const noexcept
{
    return state_->claims();
}

const claimer_counts& claimer::counts() const noexcept
{
    return state_->counts();
}

bool claimer::ready() const noexcept
{
    return state_->ready();
}

std::size_t claimer::pending_asks() const noexcept
{
    return state_->pending_asks();
}

} // namespace godwit::claims
