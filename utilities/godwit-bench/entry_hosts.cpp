#include "entry_hosts.hpp"

#include "baseline.hpp"
#include "policy_events.hpp"
#include "run_names.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <chrono>
#include <cstdint>
#include <variant>

namespace godwit::bench {

namespace {

constexpr core::duration tick_every = std::chrono::milliseconds(100);

} // namespace

template<entry_policy Policy>
entry_hosts<Policy>::entry_hosts(
    run_state& run, const policy_factory& make_policy)
    : run_(run)
{
    for (std::size_t index = 0; index < run_.plan.entry_hosts; ++index)
        hosts_.push_back(
            {.policy = make_policy(index),
             .zone = run_.zone_of_host(index),
             .active = {}});
}

template<entry_policy Policy>
void entry_hosts<Policy>::start()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        tell(host, policy_event(run_));
        // Ticks of different hosts do not fall together.
        const core::duration offset = tick_every *
                                      static_cast<std::int64_t>(host) /
                                      static_cast<std::int64_t>(hosts_.size());
        run_.events.schedule(
            core::time_point(offset), event_kind::host_tick, host);
    }
    tell_servers();
}

template<entry_policy Policy>
void entry_hosts<Policy>::tell(std::size_t host, const dispatch::event& event)
{
    const auto actions = hosts_[host].policy.handle(event, run_.events.now());
    for (const dispatch::action& action : actions) {
        std::visit(
            [this, host](const auto& value) { act(host, value); }, action);
    }
}

template<entry_policy Policy>
void entry_hosts<Policy>::tell_all(const dispatch::event& event)
{
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        tell(host, event);
}

template<entry_policy Policy>
void entry_hosts<Policy>::tell_servers()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        tell(host, servers_event(run_, host));
}

template<entry_policy Policy>
void entry_hosts<Policy>::tick(std::size_t host)
{
    dispatch::tokens_arrived event;
    for (const std::size_t index : hosts_[host].active) {
        simulated_request& request = run_.requests[index];
        const std::uint32_t tokens =
            run_.engines[request.server].model.tokens_of(request);
        if (tokens <= request.tokens_told)
            continue;
        event.counts.push_back(
            {.id = id_of(request), .tokens = tokens - request.tokens_told});
        request.tokens_told = tokens;
    }
    if (!event.counts.empty())
        tell(host, event);
    tell(host, dispatch::tick{});
    hosts_[host].told_in_hand = hosts_[host].in_hand;
    run_.events.schedule(
        run_.events.now() + tick_every, event_kind::host_tick, host);
}

template<entry_policy Policy>
void entry_hosts<Policy>::enter(simulated_request& request)
{
    if (request.stage != request_stage::queued)
        return;
    ++hosts_[request.owner].in_hand;
    tell(request.owner, arrival_event(run_, request));
}

template<entry_policy Policy>
void entry_hosts<Policy>::act(
    std::size_t host, const dispatch::start_request& action)
{
    simulated_request& request = run_.requests[number_of(action.id)];
    request.stage = request_stage::sent;
    request.server = number_of(action.server);
    ++request.start_number;
    request.preemptions_of_start = 0;
    request.priority =
        run_.settings.variation.engine_priorities ? action.priority : 0;
    if (!run_.is_call(request)) {
        request.active_position = hosts_[host].active.size();
        hosts_[host].active.push_back(request.index);
    }
    core::duration way =
        run_.latency(hosts_[host].zone, run_.zone_of(request.server));
    if (run_.home_hosts() && !run_.is_call(request))
        way += run_.settings.variation.hop;
    run_.events.schedule(
        run_.events.now() + way,
        event_kind::reach_server,
        request.index,
        request.start_number);
}

template<entry_policy Policy>
void entry_hosts<Policy>::act(
    std::size_t host, const dispatch::refuse_request& action)
{
    simulated_request& request = run_.requests[number_of(action.id)];
    --hosts_[host].in_hand;
    request.stage = request_stage::refused;
    request.ended_at = run_.events.now();
    request.longest_silence = run_.events.now() - request.arrives_at;
    // A queued request that the policy gave up at the end of the caller's
    // patience kept the caller waiting all that time.
    const workload_class& kind = run_.plan.classes[request.class_index];
    if (request.longest_silence >= kind.patience)
        request.stage = request_stage::left;
}

template<entry_policy Policy>
void entry_hosts<Policy>::act(
    std::size_t, const dispatch::raise_priority& action)
{
    simulated_request& request = run_.requests[number_of(action.id)];
    if (request.stage == request_stage::sent && run_.settings.variation.raises)
        run_.engines[request.server].model.raise_priority(
            request, action.priority);
}

template<entry_policy Policy>
void entry_hosts<Policy>::remove_active(const simulated_request& request)
{
    std::vector<std::size_t>& active = hosts_[request.owner].active;
    run_.requests[active.back()].active_position = request.active_position;
    active[request.active_position] = active.back();
    active.pop_back();
}

template<entry_policy Policy>
void entry_hosts<Policy>::fail_start(simulated_request& request)
{
    remove_active(request);
    request.stage = request_stage::queued;
    request.excluded.push_back(request.server);
    tell(request.owner, dispatch::start_failed{id_of(request)});
    tell(request.owner, arrival_event(run_, request));
}

template<entry_policy Policy>
void entry_hosts<Policy>::end(
    simulated_request& request,
    request_stage stage,
    dispatch::end_reason reason)
{
    request.stage = stage;
    request.ended_at = run_.events.now();
    --hosts_[request.owner].in_hand;
    if (!run_.is_call(request))
        remove_active(request);
    tell(
        request.owner,
        dispatch::generation_ended{.id = id_of(request), .reason = reason});
}

template<entry_policy Policy>
void entry_hosts<Policy>::run_out_of_patience(simulated_request& request)
{
    const bool waits = request.stage == request_stage::queued ||
                       (request.stage == request_stage::sent &&
                        request.first_token_at.time_since_epoch().count() == 0);
    if (!waits)
        return;
    request.longest_silence = run_.events.now() - request.arrives_at;
    if (request.stage == request_stage::queued) {
        request.stage = request_stage::left;
        request.ended_at = run_.events.now();
        --hosts_[request.owner].in_hand;
        tell(request.owner, dispatch::request_left{id_of(request)});
        return;
    }
    if (run_.is_call(request))
        return;
    run_.engines[request.server].model.cancel(request);
    end(request, request_stage::left, dispatch::end_reason::cancelled);
}

template class entry_hosts<baseline>;
template class entry_hosts<dispatch::scheduler>;

} // namespace godwit::bench
