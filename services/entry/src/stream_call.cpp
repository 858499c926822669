#include <godwit/entry/stream_call.hpp>

#include <godwit/entry/call_answers.hpp>
#include <godwit/entry/server_hold.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Of the latency objective: how long a request waits as one that can still be
// on time. About a third of the objective goes into reading the prompt.
constexpr double timely_wait_share = 0.65;
// After that it waits behind all that can, and takes what is left over, until
// it is told to come back: in objectives, since callers give up a stream that
// has not begun after four, and at most this share of the time that its caller
// has, so that the answer still finds its end.
constexpr double longest_wait_objectives = 3.2;
constexpr double longest_wait_share = 0.55;
// Of the latency objective: what the prompts that a server reads may take.
constexpr double reading_share = 0.6;
// How fast a busy engine reads prompts beside its running generations.
constexpr double read_tokens_per_ms = 7.0;
// Room that comes free goes to requests of any host that can be in time:
// these look for it at once, late ones only this often.
constexpr core::duration late_try_span = std::chrono::milliseconds(400);
// Added to the priority of a request that is late already.
constexpr int late_priority = 1000;
// A stream that was turned away at once may come back after this.
constexpr core::duration come_back_after = std::chrono::milliseconds(700);
// Servers that may turn one request away before it is given up.
constexpr unsigned most_refusals = 3;
// A caller's guess is right at the median; room for this much more keeps
// most generations from outgrowing their plan.
constexpr double guess_margin = 1.25;
// Without a guess: of the most that the generation may write.
constexpr double usual_output_share = 0.5;
// Growth of a run that is counted ahead: about two seconds of writing. The
// least is for runs that outlast their caller's guess.
constexpr std::uint64_t most_growth_tokens = 200;
constexpr std::uint64_t least_growth_tokens = 50;
// A generation of so few tokens leaves its memory again within half a second:
// it makes nobody late, whenever it starts.
constexpr std::uint32_t short_output_tokens = 64;
// How long the source's stopping may take to be seen on the stream.
constexpr core::duration stopping_limit = std::chrono::seconds(3);
constexpr unsigned first_failure = 300;

} // namespace

stream_call::stream_call(entry_context& context, accepted_call call)
    : context_(context),
      call_(std::make_shared<const accepted_call>(std::move(call))),
      metrics_(
          *context.metrics,
          call_->target.name,
          core::class_name(call_->via.name),
          call_->arrived)
{}

stream_call::~stream_call()
{
    leave_server();
}

asio::awaitable<void> stream_call::run()
{
    call_->caller.on_caller_gone([weak = weak_from_this()] {
        if (const auto kept = weak.lock())
            kept->caller_left();
    });
    context_.budgets.first_attempt(call_->target.name, call_->arrived);
    co_await start();
    leave_server();
}

void stream_call::caller_left()
{
    metrics_.finished(core::outcome::interrupted, core::monotonic_now());
    caller_gone_ = true;
    const std::string server =
        is_registered_ ? active_->server().id.value() : std::string();
    log_caller_left(*call_, server, last_event_);
    if (waiting_ != nullptr)
        waiting_->cancel();
    if (migration_)
        migration_->stop();
    if (active_)
        active_->cancel();
}

std::uint32_t stream_call::expected_output() const
{
    if (!call_->terms.generation)
        return 0;
    const generation_terms& size = *call_->terms.generation;
    const double guessed = size.expected_output_tokens
                               ? guess_margin * *size.expected_output_tokens
                               : usual_output_share * size.most_output_tokens;
    return std::min(
        static_cast<std::uint32_t>(guessed), size.most_output_tokens);
}

// An engine shares its reading between prompts: one more delays those that
// it began before.
std::uint64_t stream_call::most_unread_tokens(bool is_late) const
{
    const core::duration objective = call_->via.latency_objective;
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(objective);
    const double share = is_late ? 1.0 : reading_share;
    return static_cast<std::uint64_t>(
        share * read_tokens_per_ms * static_cast<double>(milliseconds.count()));
}

// What the run takes now, and what it will grow by soon. Counting what it
// takes at its end would leave memory unused: while some of a batch grow,
// others end.
std::uint64_t stream_call::memory_tokens() const
{
    if (!call_->terms.generation || !call_->target.engine)
        return 0;
    const std::uint64_t written =
        pace_.events * call_->target.engine->tokens_per_event;
    const std::uint64_t expected = expected_output();
    const std::uint64_t left = expected > written ? expected - written : 0;
    return call_->terms.generation->prompt_tokens + written +
           std::clamp(left, least_growth_tokens, most_growth_tokens);
}

placement::work_size stream_call::work() const
{
    placement::work_size work;
    work.requests = 1;
    work.tokens = memory_tokens();
    if (call_->terms.generation && pace_.events == 0)
        work.unread_tokens = call_->terms.generation->prompt_tokens;
    return work;
}

// A run that moves brings its memory along: there is nothing to read.
placement::work_size stream_call::moved_work() const
{
    placement::work_size moved = work();
    moved.unread_tokens = 0;
    return moved;
}

http::request stream_call::request_for(
    const placement::server_id& server,
    std::optional<continuation> resumes) const
{
    forward_terms terms;
    terms.server = server;
    // Where room was kept the order is settled. An urgent request would stop
    // the newest of the others when memory ends, to be read again: three
    // times as many prompts were read in vain.
    if (call_->target.engine && !can_hold())
        terms.priority = call_->priority;
    if (!resumes)
        terms.hold = hold_;
    terms.resumes = std::move(resumes);
    return forwarded_request(context_, *call_, std::move(terms));
}

asio::awaitable<bool> stream_call::start()
{
    while (!caller_gone_) {
        const auto server = co_await place();
        if (caller_gone_)
            co_return false;
        if (!server) {
            co_await refuse(refusal_reason::no_room);
            co_return false;
        }
        const bool has_room = co_await keep_room(*server);
        if (!has_room)
            continue;
        auto head = co_await send_to(*server);
        if (head) {
            co_await relay(std::move(*head));
            co_return true;
        }
        if (caller_gone_ || call_->caller.is_answered())
            co_return false;
        const core::time_point now = core::monotonic_now();
        const bool may_go_on = refusals_ < most_refusals &&
                               (refusals_ == 0 || context_.budgets.try_spend(
                                                      call_->target.name, now));
        if (!may_go_on) {
            co_await refuse(refusal_reason::servers_refused);
            co_return false;
        }
    }
    co_return false;
}

asio::awaitable<std::optional<placement::backend_server>> stream_call::place()
{
    const core::duration objective = call_->via.latency_objective;
    const core::time_point timely_end =
        call_->arrived + std::chrono::duration_cast<core::duration>(
                             objective * timely_wait_share);
    const auto longest = std::chrono::duration_cast<core::duration>(std::min(
        objective * longest_wait_objectives,
        (call_->ends - call_->arrived) * longest_wait_share));
    auto server = co_await place_until(timely_end, call_->priority);
    if (!server && !caller_gone_)
        server = co_await place_until(
            call_->arrived + longest, call_->priority + late_priority);
    co_return server;
}

asio::awaitable<std::optional<placement::backend_server>>
stream_call::place_until(core::time_point end, int priority)
{
    const bool is_late = priority != call_->priority;
    placement::placement_request wanted;
    wanted.service = &call_->target;
    wanted.work = work();
    wanted.near = context_.settings.zone;
    wanted.excluded = tried_;
    const bool is_short =
        call_->terms.generation && expected_output() <= short_output_tokens;
    if (is_short)
        wanted.purpose = placement::placement_purpose::short_start;
    else if (is_late)
        wanted.purpose = placement::placement_purpose::late_start;
    wanted.most_unread_tokens = most_unread_tokens(is_late);
    std::optional<waiting_line::place> waiting;
    core::time_point next_try{};
    bool is_my_turn = !context_.line.is_ahead_of(priority);
    while (!caller_gone_) {
        const core::time_point now = core::monotonic_now();
        if (is_my_turn && now >= next_try) {
            if (is_late)
                next_try = now + late_try_span;
            const auto found = context_.chooser.choose(wanted, now);
            if (found) {
                log_placed(*call_, *found);
                co_return found->server;
            }
        }
        if (now >= end)
            co_return std::nullopt;
        if (!waiting)
            waiting.emplace(context_.line, context_.executor, priority);
        waiting_ = &*waiting;
        co_await waiting->turn(is_late ? std::min(end, next_try) : end);
        waiting_ = nullptr;
        is_my_turn = true;
    }
    co_return std::nullopt;
}

bool stream_call::can_hold() const
{
    return call_->target.engine &&
           call_->target.engine->longest_hold > core::duration();
}

// Hosts that choose at the same moment choose the same server. It tells the
// one that comes too late at once, when another server still can be in time;
// sent without asking, the request would wait there for memory.
asio::awaitable<bool> stream_call::keep_room(placement::backend_server server)
{
    reserved_.emplace(context_, server.id, work());
    if (!can_hold())
        co_return true;
    hold_answer answer =
        co_await take_hold(context_, *call_, server, memory_tokens());
    hold_ = std::move(answer.handle);
    const core::time_point now = core::monotonic_now();
    if (caller_gone_) {
        drop_hold(server);
        co_return false;
    }
    if (answer.verdict == hold_verdict::refused)
        context_.health.full(server.id, now);
    if (answer.verdict == hold_verdict::unreachable) {
        context_.health.unreachable(server.id, now);
        tried_.push_back(server.id);
    }
    // A server that does not understand the question gets the request.
    const bool is_sent = answer.verdict == hold_verdict::granted ||
                         answer.verdict == hold_verdict::failed;
    if (!is_sent)
        reserved_.reset();
    co_return is_sent;
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
        context_, server, call_->via.latency_objective));
    http::request outgoing = request_for(server.id, std::nullopt);
    const std::string attempt_id = call_->terms.attempt_id;
    auto head =
        co_await active_->begin(std::move(outgoing), attempt_id, call_->ends);
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
    const answer_terms said = context_.words.read_answer(head->fields);
    if (said.is_not_run) {
        log_send_failed(
            *call_, server, "not_run", std::to_string(head->status));
        context_.health.full(server.id, core::monotonic_now());
        ++refusals_;
        stop_migration();
        reserved_.reset();
        tried_.push_back(server.id);
        co_return std::nullopt;
    }
    if (head->status >= first_failure) {
        context_.health.failed(server.id);
        co_await pass_on_failure(std::move(*head));
        co_return std::nullopt;
    }
    if (!said.is_signed) {
        log_send_failed(
            *call_, server, "unsigned", std::to_string(head->status));
        active_->cancel();
        co_await refuse(refusal_reason::answer_spoiled);
        co_return std::nullopt;
    }
    co_return std::move(*head);
}

asio::awaitable<void> stream_call::give_up_send(upstream_failure why)
{
    if (caller_gone_)
        co_return;
    const placement::backend_server server = active_->server();
    log_send_failed(*call_, server, "no_head", why.cause.message());
    context_.health.unreachable(server.id, core::monotonic_now());
    stop_migration();
    reserved_.reset();
    tried_.push_back(server.id);
    if (why.fault == upstream_fault::unreachable)
        co_return;
    const bool is_late = why.fault == upstream_fault::timed_out;
    co_await refuse(
        is_late ? refusal_reason::out_of_time : refusal_reason::answer_lost);
}

void stream_call::stop_migration()
{
    if (migration_)
        migration_->stop();
    migration_.reset();
}

asio::awaitable<void> stream_call::pass_on_failure(http::response_head head)
{
    auto body = co_await active_->read_all(call_->ends);
    if (caller_gone_)
        co_return;
    if (!body) {
        co_await refuse(refusal_reason::answer_lost);
        co_return;
    }
    active_->finish();
    metrics_.finished(core::outcome::completed, core::monotonic_now());
    http::response answer{
        head.status,
        context_.words.returned_fields(head.fields),
        std::move(*body)};
    [[maybe_unused]] const auto sent =
        co_await call_->caller.respond(std::move(answer));
}

void stream_call::adopt(std::shared_ptr<upstream> serving)
{
    leave_server();
    active_ = std::move(serving);
    context_.streams.add(active_->server().id, *this);
    is_registered_ = true;
    if (!context_.directory.is_usable(active_->server().id))
        server_leaves();
}

void stream_call::leave_server()
{
    if (is_registered_)
        context_.streams.remove(active_->server().id, *this);
    is_registered_ = false;
}

void stream_call::server_leaves()
{
    const bool can_move = call_->target.engine && call_->target.engine->moves;
    if (!can_move || migration_ || caller_gone_)
        return;
    migration_ =
        std::make_shared<migrator>(context_, call_, active_, moved_work());
    migration_->start();
}

core::duration stream_call::silence(core::time_point now) const
{
    if (last_relayed_)
        return now - *last_relayed_;
    // A prompt takes its time to be read.
    const core::duration due = call_->via.latency_objective;
    return std::max(now - sent_at_ - due, core::duration::zero());
}

asio::awaitable<void> stream_call::relay(http::response_head head)
{
    auto begun = co_await call_->caller.start_stream(
        head.status, context_.words.returned_fields(head.fields));
    if (!begun)
        co_return;
    while (!caller_gone_) {
        auto piece = co_await active_->read_some(call_->ends);
        if (caller_gone_)
            co_return;
        if (piece && piece->has_value()) {
            const bool goes_on = co_await relay_events(std::move(**piece));
            if (!goes_on)
                co_return;
            continue;
        }
        if (piece && splitter_.is_between_events()) {
            active_->finish();
            stop_migration();
            context_.health.succeeded(active_->server().id);
            metrics_.finished(core::outcome::completed, core::monotonic_now());
            log_stream_completed(*call_, active_->server(), pace_);
            [[maybe_unused]] const auto ended =
                co_await call_->caller.finish_stream();
            co_return;
        }
        const auto next_head = co_await go_on_elsewhere();
        if (next_head)
            continue;
        if (caller_gone_)
            co_return;
        context_.health.unreachable(
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
    for (raw_event& event : *events) {
        // After a resumption the server may repeat what the caller has.
        if (event.id && pace_.events > 0 && *event.id <= last_event_)
            continue;
        if (event.id)
            last_event_ = *event.id;
        ++pace_.events;
        ready += event.bytes;
    }
    if (pace_.events > 0 && reserved_) {
        reserved_->prompt_is_read();
        reserved_->set_tokens(memory_tokens());
    }
    if (ready.empty())
        co_return true;
    watch_pause();
    const auto written = co_await call_->caller.write_chunk(std::move(ready));
    if (!written)
        active_->cancel();
    co_return written.has_value();
}

void stream_call::watch_pause()
{
    const core::time_point now = core::monotonic_now();
    const bool is_first = !last_relayed_;
    const core::duration pause = now - last_relayed_.value_or(call_->arrived);
    const core::duration objective =
        is_first ? call_->via.latency_objective : call_->via.pause_objective;
    if (is_first)
        pace_.first = pause;
    else
        pace_.longest_pause = std::max(pace_.longest_pause, pause);
    last_relayed_ = now;
    metrics_.tokens_arrived(now);
    if (pause > objective)
        log_late_event(
            *call_, active_->server(), last_event_, pause, objective);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::go_on_elsewhere()
{
    if (!migration_)
        co_return std::nullopt;
    migration_->stream_broke();
    const core::time_point end = core::monotonic_now() + stopping_limit;
    const auto moved = co_await migration_->outcome(end);
    if (!moved || caller_gone_)
        co_return std::nullopt;
    co_return co_await resume(*moved);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::resume(migrated_run moved)
{
    const core::time_point before = core::monotonic_now();
    const placement::backend_server source = active_->server();
    continuation resumes{source.address, moved.handle, last_event_};
    auto next = std::make_shared<upstream>(
        context_, moved.destination, call_->via.latency_objective);
    http::request outgoing =
        request_for(moved.destination.id, std::move(resumes));
    reserved_.reset();
    reserved_.emplace(context_, moved.destination.id, moved_work());
    leave_server();
    active_ = next;
    splitter_ = event_splitter();
    const std::string attempt_id = call_->terms.attempt_id;
    auto head =
        co_await next->begin(std::move(outgoing), attempt_id, call_->ends);
    const bool runs = head && head->status < first_failure;
    std::string verdict = "resumed";
    if (!head)
        verdict = head.error().cause.message();
    else if (!runs)
        verdict = "status_" + std::to_string(head->status);
    context_.metrics
        ->counter(
            "godwit_migrations_total",
            "Running generations that went on at another server.",
            {call_->target.name,
             core::class_name(call_->via.name),
             runs ? core::outcome::completed : core::outcome::interrupted})
        .Increment();
    log_migration(
        *call_,
        source,
        moved.destination.id.value(),
        verdict,
        core::monotonic_now() - before);
    if (!runs || caller_gone_)
        co_return std::nullopt;
    migration_.reset();
    adopt(next);
    co_return std::move(*head);
}

void stream_call::cut(std::string_view cause)
{
    metrics_.finished(core::outcome::interrupted, core::monotonic_now());
    log_cut(*call_, active_->server(), cause, last_event_);
    active_->cancel();
    stop_migration();
    call_->caller.cut();
}

asio::awaitable<void> stream_call::refuse(refusal_reason reason)
{
    // The shortage has lasted this long; it may as long again.
    const core::duration waited = core::monotonic_now() - call_->arrived;
    co_await refuse_call(
        *call_, metrics_, reason, std::max(come_back_after, waited));
}

} // namespace godwit::entry
