#include <godwit/core/timer.hpp>
#include <godwit/entry/migrator.hpp>

#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_regions.hpp>
#include <godwit/entry/control_exchange.hpp>
#include <godwit/entry/server_responses.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/placement/zone_rebalancer.hpp>
#include <godwit/rollout/version_choice.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// How often to check whether another stream of this host still copies from the
// same server.
constexpr core::duration copy_turn_poll_interval =
    std::chrono::milliseconds(15);
// The wait before a retry when the source server or the destinations may soon
// respond differently.
constexpr core::duration retry_interval = std::chrono::milliseconds(40);
// The most pre-copies of one migration. Each after the first transfers what was
// generated during the one before, until a copy is short enough to stop the
// generation for it.
constexpr int max_pre_copies = 4;
// How long a claim on links lasts: two short copies and a round trip to the
// source server, with some margin.
constexpr core::duration link_claim_duration = std::chrono::milliseconds(250);
// The longest wait for links that other hosts have claimed. Consecutive claims
// must not use up the time that a draining server gives.
constexpr core::duration max_link_wait = std::chrono::milliseconds(400);
// The number of failed or missing responses to copy requests after which
// another destination is tried.
constexpr int max_failures = 2;
// A migration gives up after this time: a server that has been draining for so
// long is gone, or about to be.
constexpr core::duration max_migration_time = std::chrono::seconds(6);

std::string_view name_of(copy_status status)
{
    switch (status) {
    case copy_status::done:
        return "done";
    case copy_status::not_running:
        return "not_running";
    case copy_status::busy:
        return "busy";
    case copy_status::refused:
        return "refused";
    case copy_status::failed:
        return "failed";
    case copy_status::unreachable:
        return "unreachable";
    case copy_status::not_sent:
        return "not_sent";
    }
    return "failed";
}

std::string_view name_of(migration_cause cause)
{
    switch (cause) {
    case migration_cause::server_draining:
        return "server_leaves";
    case migration_cause::region_withdrawn:
        return "region_withdrawn";
    case migration_cause::rebalance:
        return "rebalance";
    }
    return "rebalance";
}

} // namespace

migrator::migrator(
    entry_context& context,
    std::shared_ptr<const routed_call> call,
    std::shared_ptr<upstream> source,
    placement::work_size work,
    std::uint64_t remaining_tokens,
    migration_cause cause)
    : context_(context), call_(std::move(call)), source_(std::move(source)),
      work_(work), priority_(placement::copy_priority(remaining_tokens, work)),
      cause_(cause), finished_signal_(context.executor),
      started_at_(core::monotonic_now())
{
    finished_signal_.expires_at(core::timer::time_point::max());
}

void migrator::start()
{
    // However the migration ends, it must free its turn to copy and wake its
    // waiter.
    spawn(
        context_.executor,
        "migration",
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->run();
        },
        [self = shared_from_this()] {
            self->end_copy_turn();
            self->finish();
        });
}

void migrator::require_migration()
{
    cause_ = migration_cause::server_draining;
    started_at_ = core::monotonic_now();
}

void migrator::stop()
{
    is_stopped_ = true;
    if (is_finished_)
        release();
}

asio::awaitable<std::optional<migrated_run>>
migrator::outcome(core::time_point end)
{
    // The stream may drop its reference when the migration has finished but its
    // waiter has not resumed yet.
    const auto self = shared_from_this();
    while (!is_finished_ && core::monotonic_now() < end) {
        finished_signal_.expires_after(end - core::monotonic_now());
        boost::system::error_code error;
        co_await finished_signal_.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
    }
    co_return migrated_;
}

asio::awaitable<void> migrator::wait_for_stop(core::time_point end)
{
    // As in `outcome`.
    const auto self = shared_from_this();
    while (is_stopping_run_ && core::monotonic_now() < end)
        co_await async_sleep(context_.executor, copy_turn_poll_interval);
}

asio::awaitable<void> migrator::wait_for_copy_turn()
{
    const placement::server_id& source = source_->server().id;
    ticket_ = context_.copy_queue.enqueue(source, priority_);
    while (!is_stopped_ && !context_.copy_queue.try_start(source, ticket_))
        co_await async_sleep(context_.executor, copy_turn_poll_interval);
}

void migrator::end_copy_turn()
{
    context_.copy_queue.finish(source_->server().id, ticket_);
}

asio::awaitable<void> migrator::run()
{
    co_await wait_for_copy_turn();
    if (!is_stopped_)
        co_await migrate();
}

asio::awaitable<void> migrator::migrate()
{
    while (!is_stopped_ && !is_broken_ &&
           core::monotonic_now() - started_at_ < max_migration_time) {
        if (!choose_destination()) {
            if (!must_migrate())
                co_return;
            co_await async_sleep(context_.executor, retry_interval);
            continue;
        }
        const pre_copy_result result = co_await pre_copy();
        const bool is_ready = !is_stopped_ &&
                              result == pre_copy_result::converged &&
                              may_copy_to_destination();
        if (is_ready) {
            claim_links(link_claim_duration);
            co_await stop_and_copy();
            claim_links(core::duration::zero());
            if (migrated_)
                co_return;
            co_await async_sleep(context_.executor, retry_interval);
        } else if (!must_migrate() && !is_broken_) {
            co_return;
        } else if (result == pre_copy_result::not_started) {
            // Other generations of this host can be copied meanwhile.
            end_copy_turn();
            co_await async_sleep(context_.executor, retry_interval);
            co_await wait_for_copy_turn();
        }
    }
    // The stop-and-copy also shows whether the generation has really ended: it
    // must not be resumed elsewhere while it still runs.
    if (is_broken_ && pre_copied_ && !is_stopped_)
        co_await stop_and_copy();
}

asio::awaitable<void> migrator::wait_for_links()
{
    const std::vector<placement::server_id> links{
        source_->server().id, destination_->id};
    const core::time_point end = core::monotonic_now() + max_link_wait;
    while (!is_stopped_ && core::monotonic_now() < end &&
           context_.claims.is_claimed(links, core::monotonic_now()))
        co_await async_sleep(context_.executor, copy_turn_poll_interval);
}

void migrator::claim_links(core::duration duration)
{
    if (!context_.broadcast)
        return;
    const auto duration_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    context_.broadcast(wire::link_claim{
        {source_->server().id.value(), destination_->id.value()},
        static_cast<std::uint32_t>(duration_ms)});
}

placement::placement_request migrator::destination_request() const
{
    if (!must_migrate())
        return placement::zone_rebalancer(context_.settings.zone)
            .make_request(call_->service, work_);
    placement::placement_request request;
    request.service = &call_->service;
    request.work = work_;
    request.purpose = placement::placement_purpose::migration;
    // A copy takes twice as long to another zone.
    request.preferred_zone = source_->server().zone;
    return request;
}

bool migrator::choose_destination()
{
    placement::placement_request request = destination_request();
    restrict_to_allowed_regions(context_, *call_, request);
    rollout::keep_version(context_.rollouts, source_->server(), request);
    request.excluded = excluded_;
    request.excluded.push_back(source_->server().id);
    const auto found = context_.placer.choose(request, core::monotonic_now());
    if (!found) {
        // Servers that refused a moment ago may have capacity now.
        excluded_.clear();
        return false;
    }
    log_migration_chosen(*call_, source_->server(), *found, name_of(cause_));
    destination_ = found->server;
    reserved_.reset();
    placement::work_size arriving = work_;
    arriving.arriving_tokens = work_.tokens;
    reserved_.emplace(context_, destination_->id, arriving);
    return true;
}

bool migrator::may_copy_to_destination() const
{
    return context_.directory.is_usable(destination_->id) &&
           !context_.evacuations.is_evacuated(destination_->zone) &&
           may_process_in(context_, *call_, destination_->zone);
}

asio::awaitable<migrator::pre_copy_result> migrator::pre_copy()
{
    int failures = 0;
    for (int copies = 0; copies < max_pre_copies && !is_stopped_;) {
        // The first copy is long, so it must not start on links that other
        // hosts have claimed. The later, short copies claim the links for
        // this migration.
        if (copies == 0)
            co_await wait_for_links();
        if (!may_copy_to_destination()) {
            excluded_.push_back(destination_->id);
            co_return pre_copy_result::no_capacity;
        }
        if (copies > 0)
            claim_links(link_claim_duration);
        const core::time_point started_at = core::monotonic_now();
        const copy_response response = co_await copy(copy_phase::pre_copy);
        const core::duration elapsed = core::monotonic_now() - started_at;
        switch (response.status) {
        case copy_status::done:
            ++copies;
            reserved_->on_kv_cache_received();
            if (response.handle)
                pre_copied_ = migrated_run{*destination_, *response.handle};
            if (is_broken_)
                co_return pre_copy_result::broken;
            if (elapsed <= max_final_copy_time || copies == max_pre_copies)
                co_return pre_copy_result::converged;
            break;
        case copy_status::refused:
            excluded_.push_back(destination_->id);
            co_return pre_copy_result::no_capacity;
        case copy_status::not_running:
            co_return pre_copy_result::not_started;
        case copy_status::failed:
        case copy_status::unreachable:
        case copy_status::not_sent:
            if (++failures >= max_failures) {
                excluded_.push_back(destination_->id);
                co_return pre_copy_result::no_capacity;
            }
            [[fallthrough]];
        case copy_status::busy:
            co_await async_sleep(context_.executor, retry_interval);
            if (is_broken_ ||
                core::monotonic_now() - started_at_ > max_migration_time)
                co_return pre_copy_result::broken;
            break;
        }
    }
    co_return pre_copy_result::broken;
}

asio::awaitable<void> migrator::stop_and_copy()
{
    is_stopping_run_ = true;
    const copy_response response = co_await copy(copy_phase::stop_and_copy);
    is_stopping_run_ = false;
    const bool is_denied = response.status == copy_status::not_running ||
                           response.status == copy_status::busy ||
                           response.status == copy_status::not_sent;
    // A later denial does not take back an earlier stop.
    may_have_stopped_run_ = may_have_stopped_run_ || !is_denied;
    if (response.status == copy_status::done && response.handle) {
        migrated_ = migrated_run{*destination_, *response.handle};
        co_return;
    }
    if (response.status == copy_status::refused && response.handle) {
        // The generation stopped, and its KV cache stayed at the source
        // server. If that server may get no requests any more, the destination
        // prefills again what was generated after the last pre-copy.
        const core::zone_name& zone = source_->server().zone;
        const bool may_stay =
            context_.evacuations.may_resume(zone, core::monotonic_now()) &&
            context_.directory.may_resume_at(
                source_->server(), core::monotonic_now()) &&
            may_process_in(context_, *call_, zone);
        migrated_ = migrated_run{source_->server(), *response.handle};
        if (!may_stay && pre_copied_)
            migrated_ = pre_copied_;
        co_return;
    }
    // The generation or its source server is gone, so that only the pre-copies
    // are left. The destination prefills again what was generated after them.
    const bool is_gone = response.status == copy_status::not_running ||
                         response.status == copy_status::unreachable ||
                         response.status == copy_status::not_sent;
    if (is_broken_ && is_gone)
        migrated_ = pre_copied_;
}

asio::awaitable<copy_response> migrator::copy(copy_phase phase)
{
    copy_request request{
        call_->metadata.attempt_id, destination_->address, phase};
    http::request outgoing = context_.codec.write_copy_request(request);
    control_request asked;
    asked.message = std::move(outgoing);
    asked.timeout = copy_timeout;
    asked.accepts = [this](const http::response& received) {
        const copy_response read = context_.codec.read_copy_response(received);
        return read.status != copy_status::done || read.handle.has_value();
    };
    const core::time_point started_at = core::monotonic_now();
    const auto fetched = co_await exchange_control(
        context_, source_->server(), std::move(asked));
    copy_response response;
    response.status = copy_status::unreachable;
    if (fetched) {
        observe_response(context_, source_->server(), *fetched, started_at);
        response = context_.codec.read_copy_response(*fetched);
    } else if (fetched.error().fault == upstream_fault::unreachable)
        response.status = copy_status::not_sent;
    if (response.handle)
        handle_ = response.handle;
    log_migration(
        *call_,
        source_->server(),
        destination_->id.value(),
        std::string(name_of(response.status)) +
            (phase == copy_phase::stop_and_copy ? "_last_" : "_running_") +
            (fetched ? std::to_string(fetched->status)
                     : fetched.error().cause.message()),
        core::monotonic_now() - started_at);
    co_return response;
}

void migrator::finish()
{
    is_finished_ = true;
    finished_signal_.cancel();
    if (is_stopped_ || !migrated_)
        release();
}

// A copy that no generation resumes from would hold memory at both servers.
void migrator::release()
{
    reserved_.reset();
    if (!handle_)
        return;
    spawn(
        context_.executor,
        "copy_release",
        [&context = context_,
         source = source_->server(),
         handle =
             *std::exchange(handle_, std::nullopt)]() -> asio::awaitable<void> {
            control_request release;
            release.message = context.codec.write_copy_release(handle);
            release.timeout = copy_timeout;
            // If this fails, the server frees the copy by itself some seconds
            // later.
            [[maybe_unused]] const auto freed =
                co_await exchange_control(context, source, std::move(release));
        });
}

} // namespace godwit::entry
