#include <godwit/entry/capacity_search.hpp>

#include <godwit/admission/make_placement_request.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/server_hold.hpp>

#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using admission::wait_stage;

namespace {

std::optional<admission::generation_size> size_of(const request_metadata& terms)
{
    if (!terms.generation)
        return std::nullopt;
    return admission::generation_size::create(*terms.generation, 0);
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
      plan_(admission::wait_policy::create(
          {call_->arrival_time,
           call_->deadline,
           call_->route.latency_objective,
           call_->priority})),
      size_(size_of(call_->metadata))
{}

void capacity_search::exclude(const placement::server_id& server)
{
    excluded_.push_back(server);
}

void capacity_search::stop()
{
    is_stopped_ = true;
    if (waiting_ != nullptr)
        waiting_->cancel();
}

asio::awaitable<std::optional<found_capacity>> capacity_search::next()
{
    while (!is_stopped_) {
        auto choice = co_await place();
        if (!choice)
            co_return std::nullopt;
        auto room = co_await keep_room(std::move(*choice));
        if (room)
            co_return room;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<placement::placement_choice>>
capacity_search::place()
{
    auto choice = co_await place_in_stage(wait_stage::timely);
    if (!choice && !is_stopped_)
        choice = co_await place_in_stage(wait_stage::late);
    co_return choice;
}

placement::placement_request capacity_search::wanted(wait_stage stage) const
{
    placement::placement_request wanted =
        admission::make_placement_request(call_->service, size_, plan_, stage);
    wanted.preferred_zone = context_.settings.zone;
    wanted.excluded = excluded_;
    return wanted;
}

asio::awaitable<std::optional<placement::placement_choice>>
capacity_search::place_in_stage(wait_stage stage)
{
    const core::time_point end = plan_.stage_end(stage);
    std::optional<wait_queue::waiter> waiting;
    core::time_point next_look{};
    bool is_my_turn = !context_.queue.has_waiter_ahead_of(plan_.rank(stage));
    while (!is_stopped_) {
        const core::time_point now = core::monotonic_now();
        if (is_my_turn && now >= next_look) {
            next_look = plan_.next_attempt(stage, now);
            auto found = context_.placer.choose(wanted(stage), now);
            if (found) {
                log_placed(*call_, *found, stage);
                co_return std::move(*found);
            }
        }
        if (now >= end)
            co_return std::nullopt;
        if (!waiting)
            waiting.emplace(
                context_.queue, context_.executor, plan_.rank(stage));
        waiting_ = &*waiting;
        co_await waiting->wait_turn(
            next_look > now ? std::min(end, next_look) : end);
        waiting_ = nullptr;
        is_my_turn = true;
    }
    co_return std::nullopt;
}

// Hosts that choose at the same moment choose the same server. It tells the
// one that comes too late at once, when another server still can be in time;
// sent without asking, the request would wait there for memory.
asio::awaitable<std::optional<found_capacity>>
capacity_search::keep_room(placement::placement_choice choice)
{
    const placement::work_size work = wanted(wait_stage::timely).work;
    found_capacity room{
        choice.server,
        std::make_unique<reservation>(context_, choice.server.id, work),
        std::nullopt};
    // A hold would be one more request to a server that limits them.
    if (!supports_holds(*call_) || context_.limits.is_limited(choice.server.id))
        co_return room;
    hold_response answer =
        co_await acquire_hold(context_, *call_, choice.server, work.tokens);
    room.hold = std::move(answer.handle);
    const core::time_point now = core::monotonic_now();
    if (is_stopped_) {
        if (room.hold)
            release_hold(context_, room.server, std::move(*room.hold));
        co_return std::nullopt;
    }
    if (answer.status == hold_status::refused)
        context_.health.record_full(choice.server.id, now);
    if (answer.status == hold_status::unreachable) {
        context_.health.record_unreachable(choice.server.id, now);
        exclude(choice.server.id);
    }
    // A server that does not understand the question gets the request.
    const bool is_sent = answer.status == hold_status::granted ||
                         answer.status == hold_status::failed;
    if (!is_sent)
        co_return std::nullopt;
    co_return room;
}

} // namespace godwit::entry
