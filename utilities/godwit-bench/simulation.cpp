#include "simulation.hpp"

#include "baseline.hpp"

#include <godwit/dispatch/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace godwit::bench {

using namespace std::chrono_literals;

namespace {

constexpr core::duration tick_every = 100ms;
constexpr core::duration report_every = 250ms;
constexpr core::duration loss_noticed_after = 1s;
constexpr double cache_event_loss = 0.1;

const core::service_name model_service("model");
const core::service_name plain_service_name("plain");

core::server_address address_of(std::size_t server)
{
    return core::server_address("10.0.0." + std::to_string(server) + ":80");
}

std::size_t number_of(const core::server_address& address)
{
    constexpr std::size_t prefix_length = 7;
    return std::stoul(address.value().substr(prefix_length));
}

core::zone_name zone_name_of(std::size_t zone)
{
    return core::zone_name("zone-" + std::to_string(zone));
}

std::size_t number_of(const core::request_id& id)
{
    return std::stoul(id.value());
}

core::request_id id_of(const simulated_request& request)
{
    return core::request_id(std::to_string(request.index));
}

} // namespace

template<entry_policy Policy>
simulation<Policy>::simulation(
    const workload& workload,
    const run_settings& settings,
    const policy_factory& make_policy)
    : workload_(workload), settings_(settings), random_(settings.seed * 77 + 5)
{
    requests_ = workload_.generate(settings_.load, settings_.seed);
    const std::size_t zones =
        std::max<std::size_t>(workload_.engines.size(), 1);
    for (std::size_t zone = 0; zone < workload_.engines.size(); ++zone) {
        for (std::size_t count = 0; count < workload_.engines[zone]; ++count) {
            engines_.push_back(
                {.model = engine_model(workload_.engine),
                 .zone = zone,
                 .outcome = {}});
        }
    }
    for (std::size_t index = 0; index < workload_.service_replicas; ++index)
        services_.push_back({.zone = index % zones, .waiting = {}});
    for (std::size_t index = 0; index < workload_.entry_hosts; ++index)
        hosts_.push_back(
            {.policy = make_policy(index),
             .zone = index % zones,
             .active = {}});
    home_load_.resize(hosts_.size());
}

template<entry_policy Policy>
measurements simulation<Policy>::run()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        tell_policy(host);
        // Ticks of different hosts do not fall together.
        const core::duration offset =
            tick_every * static_cast<std::int64_t>(host) /
            static_cast<std::int64_t>(workload_.entry_hosts);
        schedule(core::time_point(offset), event_kind::host_tick, host);
    }
    tell_servers();
    for (const simulated_request& request : requests_)
        schedule(request.arrives_at, event_kind::arrival, request.index);
    schedule(core::time_point(report_every), event_kind::sample_load, 0);
    schedule(
        core::time_point(workload_.engine_lost_at), event_kind::engine_lost, 0);
    schedule(
        core::time_point(workload_.engine_lost_at + workload_.engine_lost_for),
        event_kind::engine_back,
        0);
    const core::time_point end(workload_.length + workload_.drain);
    while (!events_.empty() && events_.top().at <= end) {
        const timed_event next = events_.top();
        events_.pop();
        now_ = next.at;
        handle(next);
    }
    for (simulated_request& request : requests_) {
        if (request.stage != request_stage::queued &&
            request.stage != request_stage::sent)
            continue;
        const core::time_point since =
            request.first_token_at.time_since_epoch().count() > 0
                ? request.last_token_at
                : request.arrives_at;
        request.longest_silence =
            std::max(request.longest_silence, now_ - since);
    }
    return measure_run(workload_, requests_, gaps_);
}

template<entry_policy Policy>
void simulation<Policy>::schedule(
    core::time_point at,
    event_kind kind,
    std::size_t subject,
    std::uint64_t number)
{
    events_.push(
        {.at = at,
         .order = next_order_++,
         .kind = kind,
         .subject = subject,
         .number = number});
}

template<entry_policy Policy>
void simulation<Policy>::handle(const timed_event& event)
{
    switch (event.kind) {
    case event_kind::arrival:
        arrive(requests_[event.subject]);
        break;
    case event_kind::hand_over:
        enter(requests_[event.subject]);
        break;
    case event_kind::reach_server:
        if (requests_[event.subject].start_number == event.number &&
            requests_[event.subject].stage == request_stage::sent)
            reach_server(requests_[event.subject]);
        break;
    case event_kind::step_end:
        if (engines_[event.subject].epoch == event.number)
            end_step(event.subject);
        break;
    case event_kind::call_end:
        end_call(event.number, requests_[event.subject]);
        break;
    case event_kind::sample_load:
        sample_load();
        break;
    case event_kind::deliver_report:
        deliver_report(event.subject);
        break;
    case event_kind::deliver_cache:
        for (std::size_t host = 0; host < hosts_.size(); ++host)
            tell(host, cache_events_[event.subject]);
        break;
    case event_kind::host_tick:
        tick_host(event.subject);
        break;
    case event_kind::patience:
        run_out_of_patience(requests_[event.subject]);
        break;
    case event_kind::engine_lost:
        lose_engine(event.subject);
        break;
    case event_kind::engine_back:
        engines_[event.subject].alive = true;
        tell_servers();
        break;
    case event_kind::servers_noticed:
        tell_servers();
        break;
    }
}

template<entry_policy Policy>
void simulation<Policy>::tell(std::size_t host, const dispatch::event& event)
{
    const auto actions = hosts_[host].policy.handle(event, now_);
    for (const dispatch::action& action : actions) {
        std::visit(
            [this, host](const auto& value) { act(host, value); }, action);
    }
}

// Names and places

template<entry_policy Policy>
bool simulation<Policy>::is_engine(std::size_t server) const
{
    return server < engines_.size();
}

template<entry_policy Policy>
std::size_t simulation<Policy>::zone_of(std::size_t server) const
{
    return is_engine(server) ? engines_[server].zone
                             : services_[server - engines_.size()].zone;
}

template<entry_policy Policy>
core::duration
simulation<Policy>::latency(std::size_t zone, std::size_t other) const
{
    return zone == other ? workload_.within_zone : workload_.between_zones;
}

template<entry_policy Policy>
bool simulation<Policy>::is_call(const simulated_request& request) const
{
    return workload_.classes[request.class_index].kind ==
           dispatch::request_kind::call;
}

template<entry_policy Policy>
bool simulation<Policy>::home_hosts() const
{
    return settings_.variation.grants == granting::home_hosts;
}

template<entry_policy Policy>
std::size_t simulation<Policy>::home_of(std::size_t index) const
{
    // The hosts of a zone share its engines.
    const std::size_t zones = workload_.engines.size();
    const std::size_t hosts_a_zone = hosts_.size() / zones;
    return engines_[index].zone + zones * (index % hosts_a_zone);
}

template<entry_policy Policy>
dispatch::backend_server simulation<Policy>::describe(std::size_t server) const
{
    const std::size_t zone = settings_.variation.zones ? zone_of(server) : 0;
    if (is_engine(server)) {
        return {
            .address = address_of(server),
            .zone = zone_name_of(zone),
            .service = model_service,
            .capacity = {
                .memory_tokens = workload_.engine.memory_tokens,
                .running =
                    static_cast<std::uint32_t>(workload_.engine.batch_limit)}};
    }
    return {
        .address = address_of(server),
        .zone = zone_name_of(zone),
        .service = plain_service_name,
        .capacity = {.running = workload_.service_concurrency}};
}

template<entry_policy Policy>
void simulation<Policy>::tell_policy(std::size_t host)
{
    const scheduler_variation& variation = settings_.variation;
    dispatch::policy_changed event;
    for (const workload_class& kind : workload_.classes) {
        dispatch::class_policy limits = kind.limits;
        if (!variation.longest_waits)
            limits.longest_wait = std::nullopt;
        if (kind.is_long && variation.longest_wait_s > 0.0)
            limits.longest_wait = std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(variation.longest_wait_s));
        if (!variation.floors) {
            limits.memory_floor = 0.0;
            limits.start_floor = 0.0;
        }
        event.value.classes.push_back(limits);
    }
    // As many as the engines would queue for the baselines.
    const std::size_t bound =
        workload_.engine.waiting_limit * engines_.size() / hosts_.size();
    const double overcommit = variation.overcommit > 0.0 ? variation.overcommit
                                                         : workload_.overcommit;
    event.value.services = {
        {.name = model_service, .queue_bound = bound, .overcommit = overcommit},
        {.name = plain_service_name}};
    tell(host, event);
}

template<entry_policy Policy>
void simulation<Policy>::tell_servers()
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        dispatch::servers_changed event;
        event.entry_hosts = static_cast<std::uint32_t>(hosts_.size());
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (!engines_[index].alive)
                continue;
            if (home_hosts() && home_of(index) != host)
                continue;
            event.servers.push_back(describe(index));
        }
        if (home_hosts() || !settings_.variation.knows_entry_hosts)
            event.entry_hosts = 1;
        for (std::size_t index = 0; index < services_.size(); ++index)
            event.servers.push_back(describe(engines_.size() + index));
        tell(host, event);
    }
}

template<entry_policy Policy>
dispatch::request_arrived
simulation<Policy>::announce(const simulated_request& request) const
{
    const scheduler_variation& variation = settings_.variation;
    const workload_class& kind = workload_.classes[request.class_index];
    dispatch::request_arrived event;
    event.id = id_of(request);
    event.organisation = core::organisation_name(
        variation.organisations ? std::to_string(request.organisation) : "all");
    event.service = is_call(request) ? plain_service_name : model_service;
    event.class_of_service = core::class_name(
        variation.classes ? kind.name : workload_.classes.front().name);
    event.kind = kind.kind;
    event.times_preempted = request.preemptions;
    for (const std::size_t server : request.excluded)
        event.excluded.push_back(address_of(server));
    if (variation.deadlines)
        event.deadline = request.arrives_at + kind.patience;
    if (is_call(request))
        return event;
    event.prompt_tokens = request.prompt_tokens;
    event.max_tokens = kind.length.most;
    event.prefix_hash = variation.prefixes ? request.prefix : 0;
    return event;
}

// A request's way

template<entry_policy Policy>
std::size_t simulation<Policy>::choose_home(std::size_t host)
{
    static_cast<void>(host);
    const auto draw = [this] {
        std::size_t index = random_.below(engines_.size());
        while (!engines_[index].alive)
            index = random_.below(engines_.size());
        return home_of(index);
    };
    const std::size_t first = draw();
    const std::size_t second = draw();
    return home_load_[first] <= home_load_[second] ? first : second;
}

template<entry_policy Policy>
void simulation<Policy>::arrive(simulated_request& request)
{
    request.stage = request_stage::queued;
    request.owner = request.host;
    schedule(
        request.arrives_at + workload_.classes[request.class_index].patience,
        event_kind::patience,
        request.index);
    if (!home_hosts() || is_call(request)) {
        enter(request);
        return;
    }
    request.owner = choose_home(request.host);
    schedule(
        now_ + settings_.variation.hop, event_kind::hand_over, request.index);
}

template<entry_policy Policy>
void simulation<Policy>::enter(simulated_request& request)
{
    if (request.stage != request_stage::queued)
        return;
    ++hosts_[request.owner].in_hand;
    tell(request.owner, announce(request));
}

template<entry_policy Policy>
void simulation<Policy>::act(
    std::size_t host, const dispatch::start_request& action)
{
    simulated_request& request = requests_[number_of(action.id)];
    request.stage = request_stage::sent;
    request.server = number_of(action.server);
    ++request.start_number;
    request.preemptions_of_start = 0;
    request.priority =
        settings_.variation.engine_priorities ? action.priority : 0;
    if (!is_call(request)) {
        request.active_position = hosts_[host].active.size();
        hosts_[host].active.push_back(request.index);
    }
    core::duration way = latency(hosts_[host].zone, zone_of(request.server));
    if (home_hosts() && !is_call(request))
        way += settings_.variation.hop;
    schedule(
        now_ + way,
        event_kind::reach_server,
        request.index,
        request.start_number);
}

template<entry_policy Policy>
void simulation<Policy>::act(
    std::size_t host, const dispatch::refuse_request& action)
{
    simulated_request& request = requests_[number_of(action.id)];
    --hosts_[host].in_hand;
    request.stage = request_stage::refused;
    request.ended_at = now_;
    request.longest_silence = now_ - request.arrives_at;
    // A queued request that the policy gave up at the end of the caller's
    // patience kept the caller waiting all that time.
    const workload_class& kind = workload_.classes[request.class_index];
    if (request.longest_silence >= kind.patience)
        request.stage = request_stage::left;
}

template<entry_policy Policy>
void simulation<Policy>::act(
    std::size_t, const dispatch::raise_priority& action)
{
    simulated_request& request = requests_[number_of(action.id)];
    if (request.stage == request_stage::sent && settings_.variation.raises)
        engines_[request.server].model.raise_priority(request, action.priority);
}

template<entry_policy Policy>
void simulation<Policy>::reach_server(simulated_request& request)
{
    if (is_call(request)) {
        plain_service& service = services_[request.server - engines_.size()];
        if (service.running < workload_.service_concurrency)
            begin_call(request.server, request.index);
        else
            service.waiting.push_back(request.index);
        return;
    }
    engine& target = engines_[request.server];
    if (!target.alive || !target.model.submit(request)) {
        fail_start(request);
        return;
    }
    tell(request.owner, dispatch::request_started{id_of(request)});
    if (!target.stepping)
        begin_step(request.server);
}

template<entry_policy Policy>
void simulation<Policy>::fail_start(simulated_request& request)
{
    std::vector<std::size_t>& active = hosts_[request.owner].active;
    requests_[active.back()].active_position = request.active_position;
    active[request.active_position] = active.back();
    active.pop_back();
    request.stage = request_stage::queued;
    request.excluded.push_back(request.server);
    tell(request.owner, dispatch::start_failed{id_of(request)});
    tell(request.owner, announce(request));
}

template<entry_policy Policy>
void simulation<Policy>::end(
    simulated_request& request,
    request_stage stage,
    dispatch::end_reason reason)
{
    request.stage = stage;
    request.ended_at = now_;
    entry_host& owner = hosts_[request.owner];
    --owner.in_hand;
    if (!is_call(request)) {
        requests_[owner.active.back()].active_position =
            request.active_position;
        owner.active[request.active_position] = owner.active.back();
        owner.active.pop_back();
    }
    tell(
        request.owner,
        dispatch::generation_ended{.id = id_of(request), .reason = reason});
}

template<entry_policy Policy>
void simulation<Policy>::run_out_of_patience(simulated_request& request)
{
    const bool waits = request.stage == request_stage::queued ||
                       (request.stage == request_stage::sent &&
                        request.first_token_at.time_since_epoch().count() == 0);
    if (!waits)
        return;
    request.longest_silence = now_ - request.arrives_at;
    if (request.stage == request_stage::queued) {
        request.stage = request_stage::left;
        request.ended_at = now_;
        --hosts_[request.owner].in_hand;
        tell(request.owner, dispatch::request_left{id_of(request)});
        return;
    }
    if (is_call(request))
        return;
    engines_[request.server].model.cancel(request);
    end(request, request_stage::left, dispatch::end_reason::cancelled);
}

// Engines and services

template<entry_policy Policy>
void simulation<Policy>::begin_step(std::size_t index)
{
    engine& subject = engines_[index];
    const auto since_start = now_.time_since_epoch();
    const bool measured =
        since_start >= workload_.warm_up && since_start < workload_.length;
    subject.stepping = true;
    subject.outcome = subject.model.step(now_, measured ? &gaps_ : nullptr);
    for (simulated_request* const request : subject.outcome.preempted) {
        request->last_token_at = now_;
        if (settings_.variation.preemption_events) {
            tell(
                request->owner,
                dispatch::generation_preempted{
                    .id = id_of(*request),
                    .count = request->preemptions_of_start});
        }
    }
    const auto report_cache = [&](std::uint32_t prefix,
                                  dispatch::cache_action action) {
        const std::uint64_t sequence = subject.next_cache_event++;
        if (random_.unit() < cache_event_loss)
            return;
        cache_events_.push_back(
            {.server = address_of(index),
             .sequence = sequence,
             .prefix_hash = prefix,
             .action = action});
        schedule(
            now_ + settings_.report_lag,
            event_kind::deliver_cache,
            cache_events_.size() - 1);
    };
    for (const std::uint32_t prefix : subject.outcome.stored_prefixes)
        report_cache(prefix, dispatch::cache_action::stored);
    for (const std::uint32_t prefix : subject.outcome.evicted_prefixes)
        report_cache(prefix, dispatch::cache_action::evicted);
    schedule(
        now_ + subject.outcome.took,
        event_kind::step_end,
        index,
        subject.epoch);
}

template<entry_policy Policy>
void simulation<Policy>::end_step(std::size_t index)
{
    engine& subject = engines_[index];
    subject.stepping = false;
    const step_outcome outcome = std::move(subject.outcome);
    subject.outcome = {};
    for (simulated_request* const request : outcome.first_tokens) {
        if (request->stage != request_stage::sent)
            continue;
        core::duration way = latency(hosts_[request->host].zone, subject.zone);
        request->first_token_at = now_ + way;
        request->last_token_at = request->first_token_at;
        request->longest_silence = std::max(
            request->longest_silence,
            request->first_token_at - request->arrives_at);
    }
    for (simulated_request* const request : outcome.resumed) {
        if (request->stage != request_stage::sent)
            continue;
        const core::duration gap = now_ - request->last_token_at;
        request->longest_silence = std::max(request->longest_silence, gap);
        request->last_token_at = now_;
        gaps_.add(gap, 1);
    }
    for (simulated_request* const request : outcome.finished) {
        if (request->stage != request_stage::sent)
            continue;
        catch_up_tokens(*request);
        end(*request, request_stage::completed, dispatch::end_reason::stop);
    }
    if (!subject.model.idle() && !subject.stepping)
        begin_step(index);
}

template<entry_policy Policy>
void simulation<Policy>::catch_up_tokens(simulated_request& request)
{
    const std::uint32_t fresh = request.tokens - request.tokens_told;
    request.tokens_told = request.tokens;
    if (fresh > 0)
        tell(
            request.owner,
            dispatch::tokens_arrived{
                {{.id = id_of(request), .tokens = fresh}}});
}

template<entry_policy Policy>
void simulation<Policy>::tick_host(std::size_t host)
{
    dispatch::tokens_arrived event;
    for (const std::size_t index : hosts_[host].active) {
        simulated_request& request = requests_[index];
        const std::uint32_t tokens =
            engines_[request.server].model.tokens_of(request);
        if (tokens <= request.tokens_told)
            continue;
        event.counts.push_back(
            {.id = id_of(request), .tokens = tokens - request.tokens_told});
        request.tokens_told = tokens;
    }
    if (!event.counts.empty())
        tell(host, event);
    tell(host, dispatch::tick{});
    home_load_[host] = hosts_[host].in_hand;
    schedule(now_ + tick_every, event_kind::host_tick, host);
}

template<entry_policy Policy>
void simulation<Policy>::begin_call(std::size_t server, std::size_t request)
{
    ++services_[server - engines_.size()].running;
    schedule(
        now_ + requests_[request].work, event_kind::call_end, request, server);
}

template<entry_policy Policy>
void simulation<Policy>::end_call(
    std::size_t server, simulated_request& request)
{
    plain_service& service = services_[server - engines_.size()];
    --service.running;
    if (!service.waiting.empty()) {
        const std::size_t next = service.waiting.front();
        service.waiting.pop_front();
        begin_call(server, next);
    }
    request.first_token_at = now_;
    end(request, request_stage::completed, dispatch::end_reason::stop);
}

template<entry_policy Policy>
void simulation<Policy>::lose_engine(std::size_t index)
{
    engine& subject = engines_[index];
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
            end(*request, request_stage::lost, dispatch::end_reason::lost);
            continue;
        }
        request->tokens = 0;
        request->tokens_told = 0;
        fail_start(*request);
    }
    schedule(now_ + loss_noticed_after, event_kind::servers_noticed, 0);
}

template<entry_policy Policy>
void simulation<Policy>::sample_load()
{
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (!engines_[index].alive)
            continue;
        const engine_model& model = engines_[index].model;
        reports_.push_back(
            {.server = address_of(index),
             .measured_at = now_,
             .running = static_cast<std::uint32_t>(model.running()),
             .waiting = static_cast<std::uint32_t>(model.waiting()),
             .memory_tokens_used = model.memory_used(),
             .memory_tokens_capacity = workload_.engine.memory_tokens});
        schedule(
            now_ + settings_.report_lag,
            event_kind::deliver_report,
            reports_.size() - 1);
    }
    for (std::size_t index = 0; index < services_.size(); ++index) {
        reports_.push_back(
            {.server = address_of(engines_.size() + index),
             .measured_at = now_,
             .running = services_[index].running,
             .waiting =
                 static_cast<std::uint32_t>(services_[index].waiting.size())});
        schedule(
            now_ + settings_.report_lag,
            event_kind::deliver_report,
            reports_.size() - 1);
    }
    schedule(now_ + report_every, event_kind::sample_load, 0);
}

template<entry_policy Policy>
void simulation<Policy>::deliver_report(std::size_t number)
{
    dispatch::load_reported report = reports_[number];
    if (!settings_.variation.advance_reports)
        report.measured_at = now_;
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        tell(host, report);
}

template class simulation<baseline>;
template class simulation<dispatch::scheduler>;

} // namespace godwit::bench
