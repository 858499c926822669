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
         call_->priority,
         context_.statistics.prefill_tokens_per_ms(call_->service.name, now)});
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

void capacity_search::on_shutdown()
{
    if (waiter_ != nullptr)
        waiter_->cancel();
}

void capacity_search::stop_for_shutdown()
{
    final_failure_ = refusal_reason::host_stopping;
    stop();
}

// A run that would be cut at the end of the host is not begun. Nor does a
// request wait here beyond the time in which it could start as intended: at
// another host it can go on waiting, and its run can go on after that.
core::time_point
capacity_search::shutdown_end(admission::wait_stage stage) const
{
    if (!context_.shutdown)
        return core::time_point::max();
    if (stage != wait_stage::timely)
        return core::time_point::min();
    admission::planned_run run{
        .objective = call_->route.latency_objective, .is_stream = true};
    if (size_)
        run.output_tokens = size_->expected_output_tokens();
    return context_.shutdown->latest_begin(run);
}

asio::awaitable<std::optional<found_capacity>> capacity_search::next()
{
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

asio::awaitable<std::optional<placement::placement_choice>>
capacity_search::choose_server_in_stage(wait_stage stage)
{
    const core::time_point stage_end = wait_policy_.stage_end(stage);
    std::optional<wait_queue::waiter> waiter;
    core::time_point next_attempt{};
    bool may_try =
        !context_.queue.has_waiter_ahead_of(wait_policy_.rank(stage));
    while (!is_stopped_) {
        const core::time_point now = core::monotonic_now();
        // The shutdown may begin during the wait.
        const core::time_point shutdown_limit = shutdown_end(stage);
        if (now > shutdown_limit) {
            final_failure_ = refusal_reason::host_stopping;
            co_return std::nullopt;
        }
        if (may_try && now >= next_attempt) {
            next_attempt = wait_policy_.next_attempt(stage, now);
            auto found = choose_by_version(
                context_, *call_, placement_request_in(stage), now);
            if (found) {
                log_placed(*call_, *found, stage);
                co_return std::move(*found);
            }
            final_failure_ = final_failure_of(found.error(), now);
            if (final_failure_)
                co_return std::nullopt;
        }
        if (now >= stage_end)
            co_return std::nullopt;
        if (!waiter)
            waiter.emplace(
                context_.queue, context_.executor, wait_policy_.rank(stage));
        waiter_ = &*waiter;
        core::time_point end = std::min(stage_end, shutdown_limit);
        if (next_attempt > now)
            end = std::min(end, next_attempt);
        co_await waiter->wait_turn(end);
        waiter_ = nullptr;
        may_try = true;
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
    if (!supports_holds(*call_) || context_.limits.is_limited(choice.server.id))
        co_return found;
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
    co_return found;
}

} // namespace godwit::entry
