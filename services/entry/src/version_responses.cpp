#include <godwit/entry/version_responses.hpp>

#include <chrono>

namespace godwit::entry {

namespace {

// Runs that a server loses within this time count once: a crash loses all of
// its runs, and one request may have caused it.
constexpr core::duration lost_runs_window = std::chrono::seconds(1);

bool is_counted_already(
    entry_context& context,
    const placement::server_id& server,
    core::time_point now)
{
    auto& losses = context.counted_losses;
    std::erase_if(losses, [now](const auto& each) {
        return now - each.second > lost_runs_window;
    });
    return !losses.emplace(server, now).second;
}

} // namespace

void record_version_response(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    response_verdict verdict,
    core::duration latency)
{
    const core::service_name& service = call.service.name;
    if (!context.rollouts.is_running(service))
        return;
    const core::time_point now = core::monotonic_now();
    // A cold server is slow whatever its version.
    if (context.cold_servers.remaining(server.id, now) > core::duration::zero())
        return;
    if (verdict == response_verdict::lost &&
        is_counted_already(context, server.id, now))
        return;
    rollout::response_counts one;
    one.total = 1;
    if (verdict == response_verdict::good)
        one.latencies.at(rollout::response_counts::bucket_of(latency)) = 1;
    else
        one.failed = 1;
    context.rollouts.record(
        service, {call.route.name, server.zone}, server.version, one);
}

} // namespace godwit::entry
