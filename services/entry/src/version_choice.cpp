#include <godwit/entry/version_choice.hpp>

#include <godwit/rollout/version_choice.hpp>

namespace godwit::entry {

tl::expected<placement::placement_choice, placement::placement_failure>
choose_by_version(
    entry_context& context,
    const routed_call& call,
    const placement::placement_request& request,
    core::time_point now)
{
    const bool has_reports =
        context.has_fleet_reports && context.has_fleet_reports();
    return rollout::choose_by_version(
        context.placer,
        context.rollouts,
        request,
        {call.metadata.attempt_id, has_reports},
        now);
}

} // namespace godwit::entry
