#include <godwit/orders/reconciler.hpp>

#include "reconciler_state.hpp"

#include <utility>

namespace godwit::orders {

namespace {

core::result<void> check(const reconciler_settings& settings)
{
    constexpr core::duration zero(0);
    constexpr std::uint32_t all_percent = 100;
    if (settings.host.empty() || settings.incarnation.empty())
        return core::fail(
            core::error_kind::invalid_input,
            "the reconciler has no host name or incarnation",
            "set host in the agent's settings");
    if (settings.lease_length > lease_length_limit ||
        settings.lease_margin <= zero ||
        settings.lease_margin >= settings.lease_length ||
        settings.first_wait < settings.lease_length)
        return core::fail(
            core::error_kind::invalid_input,
            "the lease's length, margin or first wait is out of range",
            "keep 0 < lease_margin < lease_length <= 20 s and first_wait at "
            "least lease_length");
    if (settings.weight_store_rate <= 0 || settings.weight_store_share <= 0 ||
        settings.weight_store_share > 1 ||
        settings.disrupted_percent > all_percent)
        return core::fail(
            core::error_kind::invalid_input,
            "the weight store's rate or share is out of range",
            "set weight_store_rate above 0, weight_store_share above 0 and "
            "at most 1, and disrupted_percent at most 100");
    if (settings.verify_interval <= zero || settings.pending_interval <= zero ||
        settings.repeat_after <= zero || settings.answer_timeout <= zero ||
        settings.log_retry <= zero || settings.read_wait <= zero)
        return core::fail(
            core::error_kind::invalid_input,
            "a time of the reconciler is not above zero",
            "set every interval and timeout above 0");
    return {};
}

} // namespace

core::result<reconciler>
reconciler::create(reconciler_settings settings, core::time_point now)
{
    if (auto checked = check(settings); !checked)
        return tl::unexpected(checked.error());
    return reconciler(std::make_unique<state>(std::move(settings), now));
}

reconciler::reconciler(std::unique_ptr<state> decisions)
    : state_(std::move(decisions))
{}

reconciler::reconciler(reconciler&&) noexcept = default;
reconciler& reconciler::operator=(reconciler&&) noexcept = default;
reconciler::~reconciler() = default;

std::vector<reconciler_action>
reconciler::handle(const reconciler_event& event, core::time_point now)
{
    return state_->handle(event, now);
}

core::time_point reconciler::next_wakeup() const
{
    return state_->next_wakeup();
}

std::vector<held_pool> reconciler::held() const
{
    return state_->held();
}

const reconciler_counts& reconciler::counts() const noexcept
{
    return state_->counts();
}

} // namespace godwit::orders
