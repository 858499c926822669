#include "service_calls.hpp"

#include "baseline.hpp"

#include <godwit/dispatch/scheduler.hpp>

namespace godwit::bench {

template<entry_policy Policy>
service_calls<Policy>::service_calls(run_state& run, entry_hosts<Policy>& hosts)
    : run_(run), hosts_(hosts)
{}

template<entry_policy Policy>
void service_calls<Policy>::reach(simulated_request& request)
{
    plain_service& service = run_.service_at(request.server);
    if (service.running < run_.plan.service_concurrency)
        begin(request.server, request.index);
    else
        service.waiting.push_back(request.index);
}

template<entry_policy Policy>
void service_calls<Policy>::begin(std::size_t server, std::size_t request)
{
    ++run_.service_at(server).running;
    run_.events.schedule(
        run_.events.now() + run_.requests[request].work,
        event_kind::call_end,
        request,
        server);
}

template<entry_policy Policy>
void service_calls<Policy>::end(std::size_t server, simulated_request& request)
{
    plain_service& service = run_.service_at(server);
    --service.running;
    if (!service.waiting.empty()) {
        const std::size_t next = service.waiting.front();
        service.waiting.pop_front();
        begin(server, next);
    }
    request.first_token_at = run_.events.now();
    hosts_.end(request, request_stage::completed, dispatch::end_reason::stop);
}

template class service_calls<baseline>;
template class service_calls<dispatch::scheduler>;

} // namespace godwit::bench
