#include "engine_stepping.hpp"

#include "baseline.hpp"
#include "run_names.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::bench {

namespace {

constexpr core::duration loss_noticed_after = std::chrono::seconds(1);
constexpr double cache_event_loss = 0.1;

} // namespace

template<entry_policy Policy>
engine_stepping<Policy>::engine_stepping(
    run_state& run, entry_hosts<Policy>& hosts)
    : run_(run), hosts_(hosts)
{}

template<entry_policy Policy>
void engine_stepping<Policy>::start()
{
    const core::time_point lost_at(run_.plan.engine_lost_at);
    run_.events.schedule(lost_at, event_kind::engine_lost, 0);
    run_.events.schedule(
        lost_at + run_.plan.engine_lost_for, event_kind::engine_back, 0);
}

template<entry_policy Policy>
void engine_stepping<Policy>::reach(simulated_request& request)
{
    simulated_engine& target = run_.engines[request.server];
    if (!target.alive || !target.model.submit(request)) {
        hosts_.fail_start(request);
        return;
    }
    hosts_.tell(request.owner, dispatch::request_started{id_of(request)});
    if (!target.stepping)
        begin_step(request.server);
}

template<entry_policy Policy>
void engine_stepping<Policy>::begin_step(std::size_t index)
{
    simulated_engine& subject = run_.engines[index];
    const core::time_point now = run_.events.now();
    const auto since_start = now.time_since_epoch();
    const bool measured =
        since_start >= run_.plan.warm_up && since_start < run_.plan.length;
    subject.stepping = true;
    subject.outcome = subject.model.step(now, measured ? &run_.gaps : nullptr);
    report_preempted(subject);
    for (const std::uint32_t prefix : subject.outcome.stored_prefixes)
        report_cache(index, prefix, dispatch::cache_action::stored);
    for (const std::uint32_t prefix : subject.outcome.evicted_prefixes)
        report_cache(index, prefix, dispatch::cache_action::evicted);
    run_.events.schedule(
        now + subject.outcome.took, event_kind::step_end, index, subject.epoch);
}

template<entry_policy Policy>
void engine_stepping<Policy>::report_preempted(const simulated_engine& subject)
{
    for (simulated_request* const request : subject.outcome.preempted) {
        request->last_token_at = run_.events.now();
        if (run_.settings.variation.preemption_events) {
            hosts_.tell(
                request->owner,
                dispatch::generation_preempted{
                    .id = id_of(*request),
                    .count = request->preemptions_of_start});
        }
    }
}

template<entry_policy Policy>
void engine_stepping<Policy>::report_cache(
    std::size_t index, std::uint32_t prefix, dispatch::cache_action action)
{
    const std::uint64_t sequence = run_.engines[index].next_cache_event++;
    if (run_.random.unit() < cache_event_loss)
        return;
    cache_events_.push_back(
        {.server = address_of(index),
         .sequence = sequence,
         .prefix_hash = prefix,
         .action = action});
    run_.events.schedule(
        run_.events.now() + run_.settings.report_lag,
        event_kind::deliver_cache,
        cache_events_.size() - 1);
}

template<entry_policy Policy>
void engine_stepping<Policy>::deliver_cache(std::size_t number)
{
    hosts_.tell_all(cache_events_[number]);
}

template<entry_policy Policy>
void engine_stepping<Policy>::end_step(std::size_t index, std::uint64_t epoch)
{
    simulated_engine& subject = run_.engines[index];
    if (subject.epoch != epoch)
        return;
    subject.stepping = false;
    const step_outcome outcome = std::move(subject.outcome);
    subject.outcome = {};
    for (simulated_request* const request : outcome.first_tokens) {
        if (request->stage == request_stage::sent)
            note_first_token(*request, subject);
    }
    for (simulated_request* const request : outcome.resumed) {
        if (request->stage == request_stage::sent)
            note_resumed(*request);
    }
    for (simulated_request* const request : outcome.finished) {
        if (request->stage != request_stage::sent)
            continue;
        catch_up_tokens(*request);
        hosts_.end(
            *request, request_stage::completed, dispatch::end_reason::stop);
    }
    if (!subject.model.idle() && !subject.stepping)
        begin_step(index);
}

template<entry_policy Policy>
void engine_stepping<Policy>::note_first_token(
    simulated_request& request, const simulated_engine& subject)
{
    const core::duration way =
        run_.latency(hosts_.zone_of(request.host), subject.zone);
    request.first_token_at = run_.events.now() + way;
    request.last_token_at = request.first_token_at;
    request.longest_silence = std::max(
        request.longest_silence, request.first_token_at - request.arrives_at);
}

template<entry_policy Policy>
void engine_stepping<Policy>::note_resumed(simulated_request& request)
{
    const core::duration gap = run_.events.now() - request.last_token_at;
    request.longest_silence = std::max(request.longest_silence, gap);
    request.last_token_at = run_.events.now();
    run_.gaps.add(gap, 1);
}

template<entry_policy Policy>
void engine_stepping<Policy>::catch_up_tokens(simulated_request& request)
{
    const std::uint32_t fresh = request.tokens - request.tokens_told;
    request.tokens_told = request.tokens;
    if (fresh > 0)
        hosts_.tell(
            request.owner,
            dispatch::tokens_arrived{
                {{.id = id_of(request), .tokens = fresh}}});
}

template<entry_policy Policy>
void engine_stepping<Policy>::lose(std::size_t index)
{
    simulated_engine& subject = run_.engines[index];
    subject.alive = false;
    subject.stepping = false;
    ++subject.epoch;
    // Those whose last token was in the step that never ended are lost too.
    std::vector<simulated_request*> gone = subject.model.crash();
    gone.insert(
        gone.end(),
        subject.outcome.finished.begin(),
        subject.outcome.finished.end());
    subject.outcome = {};
    for (simulated_request* const request : gone) {
        if (request->stage != request_stage::sent)
            continue;
        if (request->first_token_at.time_since_epoch().count() > 0) {
            hosts_.end(
                *request, request_stage::lost, dispatch::end_reason::lost);
            continue;
        }
        request->tokens = 0;
        request->tokens_told = 0;
        hosts_.fail_start(*request);
    }
    run_.events.schedule(
        run_.events.now() + loss_noticed_after, event_kind::servers_noticed, 0);
}

template<entry_policy Policy>
void engine_stepping<Policy>::bring_back(std::size_t index)
{
    run_.engines[index].alive = true;
    hosts_.tell_servers();
}

template class engine_stepping<baseline>;
template class engine_stepping<dispatch::scheduler>;

} // namespace godwit::bench
