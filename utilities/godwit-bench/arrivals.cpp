#include "arrivals.hpp"

#include "baseline.hpp"

#include <godwit/dispatch/scheduler.hpp>

namespace godwit::bench {

template<entry_policy Policy>
arrivals<Policy>::arrivals(run_state& run, entry_hosts<Policy>& hosts)
    : run_(run), hosts_(hosts)
{}

template<entry_policy Policy>
void arrivals<Policy>::start()
{
    for (const simulated_request& request : run_.requests)
        run_.events.schedule(
            request.arrives_at, event_kind::arrival, request.index);
}

template<entry_policy Policy>
void arrivals<Policy>::arrive(simulated_request& request)
{
    request.stage = request_stage::queued;
    request.owner = request.host;
    run_.events.schedule(
        request.arrives_at + run_.plan.classes[request.class_index].patience,
        event_kind::patience,
        request.index);
    if (!run_.home_hosts() || run_.is_call(request)) {
        hosts_.enter(request);
        return;
    }
    request.owner = choose_home();
    run_.events.schedule(
        run_.events.now() + run_.settings.variation.hop,
        event_kind::hand_over,
        request.index);
}

template<entry_policy Policy>
std::size_t arrivals<Policy>::draw_home()
{
    std::size_t index = run_.random.below(run_.engines.size());
    while (!run_.engines[index].alive)
        index = run_.random.below(run_.engines.size());
    return run_.home_of(index);
}

template<entry_policy Policy>
std::size_t arrivals<Policy>::choose_home()
{
    const std::size_t first = draw_home();
    const std::size_t second = draw_home();
    return hosts_.told_in_hand(first) <= hosts_.told_in_hand(second) ? first
                                                                     : second;
}

template class arrivals<baseline>;
template class arrivals<dispatch::scheduler>;

} // namespace godwit::bench
