#include <godwit/entry/stream_call.hpp>

#include <utility>

// How a running stream goes on at another server.

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// How long the source's stopping may take to be seen on the stream.
constexpr core::duration stopping_limit = std::chrono::seconds(3);
constexpr unsigned first_failure = 300;

} // namespace

admission::generation_size stream_call::size() const
{
    return admission::generation_size::create(
        *call_->metadata.generation,
        pace_.events * call_->service.engine->tokens_per_event);
}

// A run that moves brings its memory along: there is nothing to read.
placement::work_size stream_call::moved_work() const
{
    if (!call_->metadata.generation || !call_->service.engine)
        return placement::work_size{.requests = 1};
    return size().migrated_work();
}

// A run that has not begun has no memory that could move.
std::uint64_t stream_call::tokens_left() const
{
    if (pace_.events == 0 || !call_->metadata.generation ||
        !call_->service.engine)
        return 0;
    return size().tokens_left();
}

void stream_call::stop_migration()
{
    if (migration_)
        migration_->stop();
    migration_.reset();
}

void stream_call::adopt(std::shared_ptr<upstream> serving)
{
    leave_server();
    active_ = std::move(serving);
    context_.streams.add(active_->server().id, *this);
    is_registered_ = true;
    if (!context_.directory.is_usable(active_->server().id))
        on_server_draining();
}

void stream_call::leave_server()
{
    if (is_registered_)
        context_.streams.remove(active_->server().id, *this);
    is_registered_ = false;
}

void stream_call::on_server_draining()
{
    forget_failed_migration();
    if (migration_)
        migration_->on_server_draining();
    else
        migrate(migration_cause::server_draining);
}

// The new life knows nothing of this run: it is asked for no copy, and its
// leaving is none of this stream's. The stream itself ends with its connection,
// and goes on from what a copy brought elsewhere before, if there is one.
void stream_call::on_server_restarted()
{
    leave_server();
    if (migration_)
        migration_->on_stream_broken();
}

// One that ended with the run where it was does not keep another one off.
void stream_call::forget_failed_migration()
{
    if (migration_ && migration_->is_still_at_source())
        migration_.reset();
}

void stream_call::migrate(migration_cause cause)
{
    const bool can_move =
        call_->service.engine && call_->service.engine->can_migrate;
    if (!can_move || migration_ || caller_gone_)
        return;
    migration_ = std::make_shared<migrator>(
        context_, call_, active_, moved_work(), tokens_left(), cause);
    migration_->start();
}

void stream_call::consider_rebalancing()
{
    if (!call_->metadata.generation || !call_->service.engine)
        return;
    const core::time_point now = core::monotonic_now();
    if (!rebalancing_.may_attempt(active_->server().zone, now))
        return;
    const placement::remote_run run{
        active_->server(),
        moved_work(),
        tokens_left(),
        context_.directory.last_departure(call_->service.name)};
    if (!rebalancing_.is_due(run, now))
        return;
    rebalancing_.record_attempt(now);
    forget_failed_migration();
    const auto wanted = rebalancing_.make_request(call_->service, run.work);
    if (context_.placer.choose(wanted, now))
        migrate(migration_cause::rebalance);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::go_on_elsewhere()
{
    if (!migration_)
        co_return std::nullopt;
    migration_->on_stream_broken();
    const core::time_point end = core::monotonic_now() + stopping_limit;
    const auto moved = co_await migration_->outcome(end);
    if (!moved || caller_gone_ || gate_.refuses(*call_))
        co_return std::nullopt;
    co_return co_await resume(*moved);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::resume(migrated_run moved)
{
    const core::time_point before = core::monotonic_now();
    const placement::backend_server source = active_->server();
    resume_point resume_from{source.address, moved.handle, last_event_};
    auto next = std::make_shared<upstream>(
        context_, moved.destination, call_->route.latency_objective);
    http::request outgoing =
        request_for(moved.destination.id, std::move(resume_from));
    reserved_.reset();
    reserved_ = std::make_unique<reservation>(
        context_, moved.destination.id, moved_work());
    leave_server();
    active_ = next;
    splitter_ = event_splitter();
    rhythm_ = placement::event_gap_tracker();
    const std::string attempt_id = call_->metadata.attempt_id;
    auto head =
        co_await next->send(std::move(outgoing), attempt_id, call_->deadline);
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
            {call_->service.name,
             core::request_class_name(call_->route.name),
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

} // namespace godwit::entry
