#include <godwit/entry/stream_call.hpp>

#include <godwit/entry/call_messages.hpp>
#include <godwit/entry/lost_runs.hpp>
#include <godwit/entry/server_hold.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Servers that may turn one request away before it is given up.
constexpr unsigned most_refusals = 3;
constexpr unsigned first_failure = 300;
// A caller that takes longer holds up what its stream's server wrote: the next
// gap is the caller's.
constexpr core::duration prompt_write = std::chrono::milliseconds(10);

} // namespace

stream_call::stream_call(entry_context& context, routed_call call)
    : context_(context),
      call_(std::make_shared<const routed_call>(std::move(call))),
      gate_(context), search_(context, call_),
      rebalancing_(context.settings.zone),
      metrics_(
          *context.metrics,
          call_->service.name,
          core::request_class_name(call_->route.name),
          call_->arrival_time)
{}

stream_call::~stream_call()
{
    leave_server();
}

asio::awaitable<void> stream_call::run()
{
    call_->exchange.on_caller_gone([weak = weak_from_this()] {
        if (const auto kept = weak.lock())
            kept->caller_left();
    });
    context_.budgets.record_first_attempt(
        call_->service.name, call_->arrival_time);
    co_await start();
    leave_server();
}

void stream_call::caller_left()
{
    metrics_.finished(core::outcome::interrupted, core::monotonic_now());
    caller_gone_ = true;
    const std::string server =
        is_registered_ ? active_->server().id.value() : std::string();
    log_caller_disconnected(*call_, server, last_event_);
    search_.stop();
    if (migration_)
        migration_->stop();
    if (active_)
        active_->cancel();
}

http::request stream_call::request_for(
    const placement::server_id& server,
    std::optional<resume_point> resume_from) const
{
    forwarding_metadata terms;
    terms.server = server;
    // Where room was kept the order is settled. An urgent request would stop
    // the newest of the others when memory ends, to be read again: three
    // times as many prompts were read in vain.
    if (call_->service.engine && !supports_holds(*call_))
        terms.priority = call_->priority;
    if (!resume_from)
        terms.hold = hold_;
    terms.resume_from = std::move(resume_from);
    return forwarded_request(context_, *call_, std::move(terms));
}

asio::awaitable<bool> stream_call::start()
{
    while (!caller_gone_) {
        if (gate_.refuses(*call_)) {
            co_await refuse(refusal_reason::quarantined);
            co_return false;
        }
        auto room = co_await search_.next();
        if (caller_gone_)
            co_return false;
        if (!room) {
            co_await refuse(refusal_reason::no_room);
            co_return false;
        }
        reserved_ = std::move(room->reserved);
        hold_ = std::move(room->hold);
        if (gate_.refuses(*call_)) {
            drop_hold(room->server);
            continue;
        }
        auto head = co_await send_to(std::move(room->server));
        if (head) {
            co_await relay(std::move(*head));
            co_return true;
        }
        if (caller_gone_ || call_->exchange.is_answered())
            co_return false;
        const core::time_point now = core::monotonic_now();
        const bool may_go_on =
            refusals_ < most_refusals &&
            (refusals_ == 0 ||
             context_.budgets.try_spend(call_->service.name, now));
        if (!may_go_on) {
            co_await refuse(refusal_reason::servers_refused);
            co_return false;
        }
    }
    co_return false;
}

void stream_call::drop_hold(const placement::backend_server& server)
{
    if (hold_)
        release_hold(context_, server, *std::exchange(hold_, std::nullopt));
}

// The head of a stream that runs, or nothing: then the request did not run,
// or its caller has an answer.
asio::awaitable<std::optional<http::response_head>>
stream_call::send_to(placement::backend_server server)
{
    sent_at_ = core::monotonic_now();
    adopt(std::make_shared<upstream>(
        context_, server, call_->route.latency_objective));
    http::request outgoing = request_for(server.id, std::nullopt);
    const std::string attempt_id = call_->metadata.attempt_id;
    auto head = co_await active_->send(
        std::move(outgoing), attempt_id, call_->deadline);
    const bool was_handed_over =
        head || head.error().fault != upstream_fault::unreachable;
    if (was_handed_over)
        hold_.reset();
    else
        drop_hold(server);
    if (caller_gone_)
        co_return std::nullopt;
    if (!head) {
        // The run may have been moved before its first event.
        auto moved_head = co_await go_on_elsewhere();
        if (!moved_head)
            co_await give_up_send(head.error());
        co_return moved_head;
    }
    co_return co_await take_answer(std::move(*head));
}

// The head if it begins a stream that may be relayed.
asio::awaitable<std::optional<http::response_head>>
stream_call::take_answer(http::response_head head)
{
    const placement::backend_server& server = active_->server();
    const response_metadata said =
        context_.codec.read_response_metadata(head.fields);
    if (said.is_not_run) {
        log_send_failed(*call_, server, "not_run", std::to_string(head.status));
        context_.health.record_full(server.id, core::monotonic_now());
        ++refusals_;
        not_run_at(server);
        co_return std::nullopt;
    }
    if (head.status >= first_failure) {
        context_.health.record_failure(server.id);
        co_await pass_on_failure(std::move(head));
        co_return std::nullopt;
    }
    if (!said.is_signed) {
        log_send_failed(
            *call_, server, "unsigned", std::to_string(head.status));
        active_->cancel();
        co_await refuse(refusal_reason::answer_spoiled);
        co_return std::nullopt;
    }
    co_return std::move(head);
}

void stream_call::not_run_at(const placement::backend_server& server)
{
    stop_migration();
    reserved_.reset();
    search_.exclude(server.id);
}

asio::awaitable<void> stream_call::give_up_send(upstream_failure why)
{
    if (caller_gone_)
        co_return;
    const placement::backend_server server = active_->server();
    log_send_failed(*call_, server, "no_head", why.cause.message());
    if (is_lost_run(why))
        record_lost_run(context_, *call_, server);
    context_.health.record_unreachable(server.id, core::monotonic_now());
    not_run_at(server);
    if (why.fault == upstream_fault::unreachable)
        co_return;
    const bool is_late = why.fault == upstream_fault::timed_out;
    co_await refuse(
        is_late ? refusal_reason::out_of_time : refusal_reason::answer_lost);
}

asio::awaitable<void> stream_call::pass_on_failure(http::response_head head)
{
    auto body = co_await active_->read_all(call_->deadline);
    if (caller_gone_)
        co_return;
    if (!body) {
        if (is_lost_run(body.error()))
            record_lost_run(context_, *call_, active_->server());
        co_await refuse(refusal_reason::answer_lost);
        co_return;
    }
    active_->release_connection();
    metrics_.finished(core::outcome::completed, core::monotonic_now());
    http::response answer{
        head.status,
        context_.codec.returned_fields(head.fields),
        std::move(*body)};
    [[maybe_unused]] const auto sent =
        co_await call_->exchange.respond(std::move(answer));
}

core::duration stream_call::idle_time(core::time_point now) const
{
    if (last_relayed_)
        return now - *last_relayed_;
    // A prompt takes its time to be read.
    const core::duration due = call_->route.latency_objective;
    return std::max(now - sent_at_ - due, core::duration::zero());
}

asio::awaitable<void> stream_call::relay(http::response_head head)
{
    auto begun = co_await call_->exchange.start_stream(
        head.status, context_.codec.returned_fields(head.fields));
    if (!begun)
        co_return;
    while (!caller_gone_) {
        auto piece = co_await active_->read_some(call_->deadline);
        if (caller_gone_)
            co_return;
        if (piece && piece->has_value()) {
            const bool goes_on = co_await relay_events(std::move(**piece));
            if (!goes_on)
                co_return;
            continue;
        }
        if (piece && splitter_.is_at_event_boundary()) {
            active_->release_connection();
            stop_migration();
            context_.health.record_success(active_->server().id);
            record_completed_run(context_, *call_);
            metrics_.finished(core::outcome::completed, core::monotonic_now());
            log_stream_completed(*call_, active_->server(), pace_);
            [[maybe_unused]] const auto ended =
                co_await call_->exchange.finish_stream();
            co_return;
        }
        const auto next_head = co_await go_on_elsewhere();
        if (next_head)
            continue;
        if (caller_gone_)
            co_return;
        if (!piece && is_lost_run(piece.error()))
            record_lost_run(context_, *call_, active_->server());
        context_.health.record_unreachable(
            active_->server().id, core::monotonic_now());
        cut(piece ? "incomplete event" : piece.error().cause.message());
        co_return;
    }
}

asio::awaitable<bool> stream_call::relay_events(std::string bytes)
{
    auto events = splitter_.push(bytes);
    if (!events) {
        cut(events.error().message());
        co_return false;
    }
    std::string ready;
    const std::uint64_t events_before = pace_.events;
    for (raw_event& event : *events) {
        // After a resumption the server may repeat what the caller has.
        if (event.id && pace_.events > 0 && *event.id <= last_event_)
            continue;
        if (event.id)
            last_event_ = *event.id;
        ++pace_.events;
        ready += event.bytes;
    }
    rhythm_.record_events(pace_.events - events_before, core::monotonic_now());
    if (pace_.events > 0 && reserved_) {
        reserved_->on_prefill_done();
        reserved_->set_progress(moved_work().tokens, rhythm_.gaps());
    }
    if (ready.empty())
        co_return true;
    watch_pause();
    consider_rebalancing();
    co_return co_await pass_on(std::move(ready));
}

asio::awaitable<bool> stream_call::pass_on(std::string ready)
{
    const core::time_point before = core::monotonic_now();
    const auto written = co_await call_->exchange.write_chunk(std::move(ready));
    if (!written)
        active_->cancel();
    if (core::monotonic_now() - before > prompt_write)
        rhythm_.skip_next_gap();
    co_return written.has_value();
}

void stream_call::watch_pause()
{
    const core::time_point now = core::monotonic_now();
    const bool is_first = !last_relayed_;
    const core::duration pause =
        now - last_relayed_.value_or(call_->arrival_time);
    const core::duration objective =
        is_first ? call_->route.latency_objective : call_->route.gap_objective;
    if (is_first)
        pace_.first = pause;
    else
        pace_.longest_pause = std::max(pace_.longest_pause, pause);
    last_relayed_ = now;
    metrics_.tokens_arrived(now);
    if (pause > objective)
        log_late_event(
            *call_,
            active_->server(),
            last_event_,
            is_first ? event_position::first : event_position::later,
            pause,
            objective);
}

void stream_call::cut(std::string_view cause)
{
    metrics_.finished(core::outcome::interrupted, core::monotonic_now());
    log_stream_interrupted(*call_, active_->server(), cause, last_event_);
    active_->cancel();
    stop_migration();
    call_->exchange.cut();
}

asio::awaitable<void> stream_call::refuse(refusal_reason reason)
{
    co_await refuse_call(
        *call_,
        metrics_,
        reason,
        search_.plan().retry_after(core::monotonic_now()));
}

} // namespace godwit::entry
