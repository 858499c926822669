#include <godwit/entry/capacity_search.hpp>

#include <godwit/admission/make_placement_request.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_regions.hpp>
#include <godwit/entry/call_size.hpp>
#include <godwit/entry/limit_wait.hpp>
#include <godwit/entry/server_hold.hpp>
#include <godwit/entry/version_choice.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using admission::wait_stage;

bool supports_holds(const routed_call& call)
{
    return call.service.engine &&
           call.service.engine->max_hold > core::duration();
}

capacity_search::capacity_search(
    entry_context& context, std::shared_ptr<const routed_call> call)
    : context_(context), call_(std::move(call)),
      wait_policy_(admission::wait_policy::create(
          {call_->arrival_time,
           call_->deadline,
           call_->route.latency_objective,
           call_->priority,
           context.statistics.prefill_tokens_per_ms(
               call_->service.name, call_->arrival_time)})),
      size_(size_of(context, *call_, 0, call_->arrival_time))
{}

void capacity_search::restart(core::time_point now)
{
    wait_policy_ = admission::wait_policy::create(
        {now,
         call_->deadline,
         call_->route.latency_objective,
         call_->priority});
    final_failure_.reset();
}

void capacity_search::exclude(const placement::server_id& server)
{
    excluded_.push_back(server);
}

void capacity_search::stop()
{
    is_stopped_ = true;
    if (waiter_ != nullptr)
        waiter_->cancel();
}

asio::awaitable<std::optional<found_capacity>> capacity_search::next()
{
    used_work_.reset();
    while (!is_stopped_) {
        auto choice = co_await choose_server();
        if (!choice)
            co_return std::nullopt;
        auto found = co_await hold_capacity(std::move(*choice));
        if (found)
            co_return found;
    }
    co_return std::nullopt;
}

// Returns the reason for a refusal that no wait will avoid.
std::optional<refusal_reason> capacity_search::final_failure_of(
    placement::placement_failure failure, core::time_point now)
{
    switch (failure) {
    case placement::placement_failure::evacuated:
        return refusal_reason::zones_evacuated;
    case placement::placement_failure::outside_regions:
        return refusal_reason::regions_without_server;
    case placement::placement_failure::limited: {
        const core::duration wait =
            shortest_limit_wait(context_, *call_, excluded_, now);
        if (wait < wait_policy_.stage_end(wait_stage::late) - now)
            return std::nullopt;
        limit_wait_ = wait;
        return refusal_reason::servers_limited;
    }
    case placement::placement_failure::no_server:
    case placement::placement_failure::no_room:
        return std::nullopt;
    }
    return std::nullopt;
}

core::duration capacity_search::retry_after(core::time_point now) const
{
    return std::max(wait_policy_.retry_after(now), limit_wait_);
}

asio::awaitable<std::optional<placement::placement_choice>>
capacity_search::choose_server()
{
    auto choice = co_await choose_server_in_stage(wait_stage::timely);
    if (!choice && !is_stopped_ && !final_failure_)
        choice = co_await choose_server_in_stage(wait_stage::late);
    co_return choice;
}

placement::placement_request
capacity_search::placement_request_in(wait_stage stage) const
{
    placement::placement_request request = admission::make_placement_request(
        call_->service, size_, wait_policy_, stage);
    request.preferred_zone = context_.settings.zone;
    request.excluded = excluded_;
    restrict_to_allowed_regions(context_, *call_, request);
    return request;
}

queueing::waiting_request capacity_search::waiting_request() const
{
    return queueing::waiting_request{
        call_->service.name,
        call_->organisation.value_or(core::organisation_name()),
        call_->priority,
        placement_request_in(wait_stage::timely).work.tokens,
        call_->arrival_time,
        call_->route.latency_objective,
        wait_policy_.stage_end(wait_stage::timely)};
}

// A request that would be refused now uses the capacity that it found.
core::duration capacity_search::yield_time(
    wait_stage stage, const placement::server_id& server, core::time_point now)
{
    const bool is_last_attempt =
        stage == wait_stage::late && now >= wait_policy_.stage_end(stage);
    if (is_last_attempt)
        return core::duration::zero();
    return context_.shared_order.delay(waiting_request(), server, now);
}

asio::awaitable<std::optional<placement::placement_choice>>
capacity_search::choose_server_in_stage(wait_stage stage)
{
    const core::time_point end = wait_policy_.stage_end(stage);
    std::optional<wait_queue::waiter> waiter;
    core::time_point next_attempt{};
    const queueing::waiting_request request = waiting_request();
    bool may_try =
        !context_.queue.has_waiter_ahead_of(wait_policy_.rank(stage), request);
    while (!is_stopped_) {
        const core::time_point now = core::monotonic_now();
        if (may_try && now >= next_attempt) {
            next_attempt = wait_policy_.next_attempt(stage, now);
            auto found = choose_by_version(
                context_, *call_, placement_request_in(stage), now);
            const core::duration yield =
                found ? yield_time(stage, found->server.id, now)
                      : core::duration::zero();
            if (found && yield == core::duration::zero()) {
                log_placed(*call_, *found, stage);
                co_return std::move(*found);
            }
            if (found)
                next_attempt = std::min(now + yield, end);
            else
                final_failure_ = final_failure_of(found.error(), now);
            if (!found && context_.shared_order.is_enabled())
                next_attempt = std::min(
                    context_.shared_order.next_attempt(request, now), end);
            if (final_failure_)
                co_return std::nullopt;
        }
        if (now >= end)
            co_return std::nullopt;
        if (!waiter)
            waiter.emplace(
                context_.queue,
                context_.executor,
                wait_policy_.rank(stage),
                request);
        waiter_ = &*waiter;
        co_await waiter->wait_turn(
            next_attempt > now ? std::min(end, next_attempt) : end);
        waiter_ = nullptr;
        may_try =
            context_.queue.is_turn_of(*waiter) || core::monotonic_now() >= end;
    }
    co_return std::nullopt;
}

// Hosts that choose at the same moment choose the same server. With a hold, the
// server refuses the later host at once, so that this host can still try
// another server in time; a request sent without a hold would wait at the
// server for memory.
asio::awaitable<std::optional<found_capacity>>
capacity_search::hold_capacity(placement::placement_choice choice)
{
    const placement::work_size work =
        placement_request_in(wait_stage::timely).work;
    found_capacity found{
        choice.server,
        std::make_unique<reservation>(context_, choice.server.id, work),
        std::nullopt};
    // A hold would be one more request to a server that limits requests.
    if (!supports_holds(*call_) ||
        context_.limits.is_limited(choice.server.id)) {
        record_use(work.tokens);
        co_return found;
    }
    hold_response response =
        co_await acquire_hold(context_, *call_, choice.server, work.tokens);
    found.hold = std::move(response.handle);
    const core::time_point now = core::monotonic_now();
    if (is_stopped_) {
        if (found.hold)
            release_hold(context_, found.server, std::move(*found.hold));
        co_return std::nullopt;
    }
    if (response.status == hold_status::refused)
        context_.health.record_full(choice.server.id, now);
    if (response.status == hold_status::unreachable) {
        context_.record_unreachable(choice.server.id);
        exclude(choice.server.id);
    }
    // A server that does not understand hold requests gets the request itself.
    const bool is_sent = response.status == hold_status::granted ||
                         response.status == hold_status::failed;
    if (!is_sent)
        co_return std::nullopt;
    record_use(work.tokens);
    co_return found;
}

void capacity_search::record_use(std::uint64_t tokens)
{
    used_work_.emplace(
        context_.shared_order,
        call_->organisation.value_or(core::organisation_name()),
        tokens);
}

} // namespace godwit::entry
