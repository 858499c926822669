#include <godwit/entry/stream_call.hpp>

#include <godwit/entry/call_regions.hpp>
#include <godwit/entry/call_size.hpp>
#include <godwit/rollout/version_choice.hpp>

#include <algorithm>
#include <utility>

// How a running stream resumes at another server.

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

constexpr unsigned min_failure_status = 300;

} // namespace

admission::generation_size stream_call::size() const
{
    return *size_of(
        context_,
        *call_,
        timing_.events * call_->service.engine->tokens_per_event,
        core::monotonic_now());
}

// A generation that migrates brings its KV cache along, so that no prompt has
// to be processed.
placement::work_size stream_call::migrated_work() const
{
    if (!call_->metadata.generation || !call_->service.engine)
        return placement::work_size{.requests = 1};
    return size().migrated_work();
}

// A generation that has not started has no KV cache to migrate.
std::uint64_t stream_call::remaining_tokens() const
{
    if (timing_.events == 0 || !call_->metadata.generation ||
        !call_->service.engine)
        return 0;
    return size().remaining_tokens();
}

void stream_call::stop_migration()
{
    if (migration_)
        migration_->stop();
    migration_.reset();
}

void stream_call::attach_to(std::shared_ptr<upstream> server_exchange)
{
    detach_from_server();
    has_earlier_stop_ = false;
    active_ = std::move(server_exchange);
    context_.streams.add(active_->server().id, *this);
    is_registered_ = true;
    if (!context_.directory.is_usable(active_->server().id))
        on_server_draining();
}

void stream_call::detach_from_server()
{
    if (is_registered_)
        context_.streams.remove(active_->server().id, *this);
    is_registered_ = false;
}

void stream_call::on_server_draining()
{
    discard_failed_migration();
    if (migration_)
        migration_->require_migration();
    else
        migrate(migration_cause::server_draining);
}

// The restarted server does not know this generation, so the stream requests no
// copy from that server and ignores a later drain of it. The stream itself ends
// with its connection, and resumes from an earlier copy at another server, if
// there is such a copy.
void stream_call::on_server_restarted()
{
    detach_from_server();
    if (migration_)
        migration_->on_stream_broken();
}

void stream_call::on_routes_changed()
{
    if (may_process_in(context_, *call_, active_->server().zone))
        return;
    discard_failed_migration();
    if (migration_)
        migration_->require_migration();
    else
        migrate(migration_cause::region_withdrawn);
}

// A migration that ended with the generation still at its source server must
// not prevent another migration.
void stream_call::discard_failed_migration()
{
    if (!migration_ || !migration_->is_still_at_source())
        return;
    has_earlier_stop_ = has_earlier_stop_ || migration_->may_have_stopped_run();
    migration_.reset();
}

asio::awaitable<bool> stream_call::may_have_been_stopped()
{
    if (!migration_)
        co_return has_earlier_stop_;
    const core::time_point end = core::monotonic_now() + source_stop_timeout;
    const auto migration = migration_;
    co_await migration->wait_for_stop(end);
    co_return has_earlier_stop_ || migration->may_have_stopped_run();
}

void stream_call::migrate(migration_cause cause)
{
    const bool can_migrate =
        call_->service.engine && call_->service.engine->can_migrate;
    if (!can_migrate || migration_ || is_caller_disconnected_)
        return;
    migration_ = std::make_shared<migrator>(
        context_, call_, active_, migrated_work(), remaining_tokens(), cause);
    migration_->start();
}

void stream_call::consider_rebalancing()
{
    if (!call_->metadata.generation || !call_->service.engine)
        return;
    const core::time_point now = core::monotonic_now();
    if (!rebalancer_.may_attempt(active_->server().zone, now))
        return;
    const placement::remote_run run{
        active_->server(),
        migrated_work(),
        remaining_tokens(),
        context_.directory.last_departure(call_->service.name)};
    if (!rebalancer_.is_due(run, now))
        return;
    rebalancer_.record_attempt(now);
    discard_failed_migration();
    auto request = rebalancer_.make_request(call_->service, run.work);
    restrict_to_allowed_regions(context_, *call_, request);
    rollout::keep_version(context_.rollouts, active_->server(), request);
    if (context_.placer.choose(request, now))
        migrate(migration_cause::rebalance);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::resume_elsewhere()
{
    if (!migration_ || is_response_due_)
        co_return std::nullopt;
    migration_->on_stream_broken();
    core::time_point end = core::monotonic_now() + source_stop_timeout;
    if (context_.shutdown)
        end = std::min(end, context_.shutdown->response_end());
    const auto migrated = co_await migration_->outcome(end);
    if (!migrated || is_caller_disconnected_ || gate_.refuses(*call_))
        co_return std::nullopt;
    // The zone may have been evacuated since the destination was chosen.
    const core::zone_name& zone = migrated->destination.zone;
    if (!context_.evacuations.may_resume(zone, core::monotonic_now()))
        co_return std::nullopt;
    // Likewise, the destination may have left.
    if (!context_.directory.may_resume_at(
            migrated->destination, core::monotonic_now()))
        co_return std::nullopt;
    // Likewise, the region may have been withdrawn.
    if (!may_process_in(context_, *call_, zone))
        co_return std::nullopt;
    co_return co_await resume_at(*migrated);
}

asio::awaitable<std::optional<http::response_head>>
stream_call::resume_at(migrated_run migrated)
{
    const core::time_point started_at = core::monotonic_now();
    const placement::backend_server source = active_->server();
    resume_point resume_from{source.address, migrated.handle, sequence_.last()};
    auto next = std::make_shared<upstream>(
        context_, migrated.destination, call_->route.latency_objective);
    http::request outgoing =
        request_for(migrated.destination.id, std::move(resume_from));
    reserved_.reset();
    reserved_ = std::make_unique<reservation>(
        context_, migrated.destination.id, migrated_work());
    detach_from_server();
    active_ = next;
    event_splitter_ = event_splitter();
    event_gaps_ = placement::event_gap_tracker();
    const std::string attempt_id = call_->metadata.attempt_id;
    auto head =
        co_await next->send(std::move(outgoing), attempt_id, call_->deadline);
    const bool is_running =
        head && head->status < min_failure_status &&
        context_.codec.read_response_metadata(head->fields).is_signed;
    std::string result = "resumed";
    if (!head)
        result = head.error().cause.message();
    else if (!is_running)
        result = "status_" + std::to_string(head->status);
    context_.metrics
        ->counter(
            "godwit_migrations_total",
            "Running generations that went on at another server.",
            {call_->service.name,
             core::request_class_name(call_->route.name),
             is_running ? core::outcome::completed
                        : core::outcome::interrupted})
        .Increment();
    log_migration(
        *call_,
        source,
        migrated.destination.id.value(),
        result,
        core::monotonic_now() - started_at);
    if (!is_running || is_caller_disconnected_)
        co_return std::nullopt;
    migration_.reset();
    attach_to(next);
    co_return std::move(*head);
}

} // namespace godwit::entry
