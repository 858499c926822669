#include "simulation.hpp"

#include "baseline.hpp"
#include "run_figures.hpp"

#include <godwit/dispatch/scheduler.hpp>

namespace godwit::bench {

template<entry_policy Policy>
simulation<Policy>::simulation(
    const workload& workload,
    const run_settings& settings,
    const policy_factory& make_policy)
    : state_(workload, settings), hosts_(state_, make_policy),
      arrivals_(state_, hosts_), engines_(state_, hosts_),
      services_(state_, hosts_), reports_(state_, hosts_)
{}

template<entry_policy Policy>
measurements simulation<Policy>::run()
{
    hosts_.start();
    arrivals_.start();
    reports_.start();
    engines_.start();
    const core::time_point end(state_.plan.length + state_.plan.drain);
    while (const auto next = state_.events.take(end))
        handle(*next);
    return collect_figures(state_);
}

template<entry_policy Policy>
void simulation<Policy>::handle(const timed_event& event)
{
    switch (event.kind) {
    case event_kind::arrival:
        arrivals_.arrive(state_.requests[event.subject]);
        break;
    case event_kind::hand_over:
        hosts_.enter(state_.requests[event.subject]);
        break;
    case event_kind::reach_server:
        reach_server(state_.requests[event.subject], event.number);
        break;
    case event_kind::step_end:
        engines_.end_step(event.subject, event.number);
        break;
    case event_kind::call_end:
        services_.end(event.number, state_.requests[event.subject]);
        break;
    case event_kind::sample_load:
        reports_.sample();
        break;
    case event_kind::deliver_report:
        reports_.deliver(event.subject);
        break;
    case event_kind::deliver_cache:
        engines_.deliver_cache(event.subject);
        break;
    case event_kind::host_tick:
        hosts_.tick(event.subject);
        break;
    case event_kind::patience:
        hosts_.run_out_of_patience(state_.requests[event.subject]);
        break;
    case event_kind::engine_lost:
        engines_.lose(event.subject);
        break;
    case event_kind::engine_back:
        engines_.bring_back(event.subject);
        break;
    case event_kind::servers_noticed:
        hosts_.tell_servers();
        break;
    }
}

template<entry_policy Policy>
void simulation<Policy>::reach_server(
    simulated_request& request, std::uint64_t start_number)
{
    if (request.start_number != start_number ||
        request.stage != request_stage::sent)
        return;
    if (state_.is_call(request))
        services_.reach(request);
    else
        engines_.reach(request);
}

template class simulation<baseline>;
template class simulation<dispatch::scheduler>;

} // namespace godwit::bench
