#include <godwit/entry/capacity_search.hpp>

#include <godwit/admission/make_placement_request.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_regions.hpp>
#include <godwit/entry/limit_wait.hpp>
#include <godwit/entry/server_hold.hpp>
#include <godwit/entry/version_choice.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using admission::wait_stage;

namespace {

std::optional<admission::generation_size>
size_of(const request_metadata& metadata)
{
    if (!metadata.generation)
        return std::nullopt;
    return admission::generation_size::create(*metadata.generation, 0);
}

} // namespace

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
           call_->priority})),
      size_(size_of(call_->metadata))
{
    if (context_.settings.predicts_starts && call_->service.engine)
        forecast_ = std::make_unique<forecast_stream>(
            context_, call_, wait_policy_, size_);
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
    while (!is_stopped_) {
        auto choice = co_await choose_server();
        if (!choice) {
            if (forecast_)
                forecast_->stop_waiting();
            co_return std::nullopt;
        }
        auto found = co_await hold_capacity(std::move(*choice));
        if (found) {
            if (forecast_)
                forecast_->set_started(core::monotonic_now());
            co_return found;
        }
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
        if (wait < stage_end(wait_stage::late) - now)
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
    if (predicted_retry_after_)
        return *predicted_retry_after_;
    return std::max(wait_policy_.retry_after(now), limit_wait_);
}

// Where starts are predicted, a stream that would not start is refused early,
// so that the others may wait as long as their callers stay.
core::time_point capacity_search::stage_end(wait_stage stage) const
{
    const core::time_point end = wait_policy_.stage_end(stage);
    if (!forecast_ || stage == wait_stage::timely)
        return end;
    return std::max(end, forecast_->latest_start());
}

queue_place capacity_search::place_in_queue() const
{
    const bool is_announced =
        forecast_ && forecast_->retry() == admission::retry_kind::announced;
    return is_announced ? queue_place::first : queue_place::by_age;
}

// A stream that has not been tried because others wait, perhaps for other
// servers, is not refused if there is a server for it.
bool capacity_search::would_start_too_late(
    wait_stage stage, core::time_point now)
{
    if (!forecast_ || !forecast_->is_too_late(stage, now))
        return false;
    if (choose_by_version(context_, *call_, placement_request_in(stage), now))
        return false;
    predicted_retry_after_ = forecast_->announce_retry(now);
    final_failure_ = refusal_reason::no_room_in_time;
    return true;
}

// Returns whether the stream may try to get a server: it is its turn, or
// `until` has come. With predictions it also wakes for the next one.
asio::awaitable<bool> capacity_search::wait_for_turn(
    wait_queue::waiter& waiter, core::time_point until)
{
    const core::time_point end =
        forecast_ ? std::min(
                        until,
                        core::monotonic_now() + forecast_stream::check_interval)
                  : until;
    waiter_ = &waiter;
    const bool is_turn = co_await waiter.wait_turn(end);
    waiter_ = nullptr;
    co_return is_turn || core::monotonic_now() >= until || !forecast_;
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
    const core::time_point end = stage_end(stage);
    std::optional<wait_queue::waiter> waiter;
    core::time_point next_attempt{};
    bool may_try =
        !context_.queue.has_waiter_ahead_of(wait_policy_.rank(stage));
    while (!is_stopped_) {
        const core::time_point now = core::monotonic_now();
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
        } else if (forecast_ && !waiter) {
            // A stream behind others is refused at once, too, if no wait helps.
            const auto found = choose_by_version(
                context_, *call_, placement_request_in(stage), now);
            if (!found)
                final_failure_ = final_failure_of(found.error(), now);
            if (final_failure_)
                co_return std::nullopt;
        }
        if (now >= end || would_start_too_late(stage, now))
            co_return std::nullopt;
        if (forecast_)
            forecast_->set_waiting(stage, now);
        if (!waiter)
            waiter.emplace(
                context_.queue,
                context_.executor,
                wait_policy_.rank(stage),
                place_in_queue());
        may_try = co_await wait_for_turn(
            *waiter, next_attempt > now ? std::min(end, next_attempt) : end);
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
