#include <godwit/core/timer.hpp>
#include <godwit/entry/migrator.hpp>

#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/http/fetch.hpp>
#include <godwit/placement/zone_rebalancer.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// While another stream of this host copies from the same server.
constexpr core::duration turn_pause = std::chrono::milliseconds(15);
// After an answer that a little time may change.
constexpr core::duration retry_pause = std::chrono::milliseconds(40);
// Further copies of a running generation, each for what came meanwhile,
// until one is short enough to stop for.
constexpr int most_running_copies = 4;
// Two short copies and the way to the source and back, with some to spare.
constexpr core::duration link_claim_span = std::chrono::milliseconds(250);
// Claims of others that follow each other must not use up the notice.
constexpr core::duration longest_link_wait = std::chrono::milliseconds(400);
// Answers that say neither yes nor no before another destination is tried.
constexpr int most_failures = 2;
// A server that has left for this long is gone, or about to be.
constexpr core::duration longest_leaving = std::chrono::seconds(6);

std::string_view name_of(copy_status verdict)
{
    switch (verdict) {
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
    }
    return "failed";
}

} // namespace

migrator::migrator(
    entry_context& context,
    std::shared_ptr<const routed_call> call,
    std::shared_ptr<upstream> source,
    placement::work_size work,
    std::uint64_t tokens_left,
    migration_cause cause)
    : context_(context), call_(std::move(call)), source_(std::move(source)),
      work_(work), urgency_(placement::copy_priority(tokens_left, work)),
      cause_(cause), settled_signal_(context.executor),
      began_(core::monotonic_now())
{
    settled_signal_.expires_at(core::timer::time_point::max());
}

void migrator::start()
{
    // However it ends, others may be copied and whoever waits is told.
    spawn(
        context_.executor,
        "migration",
        [kept = shared_from_this()]() -> asio::awaitable<void> {
            co_await kept->work();
        },
        [kept = shared_from_this()] {
            kept->end_turn();
            kept->settle();
        });
}

void migrator::on_server_draining()
{
    cause_ = migration_cause::server_draining;
    began_ = core::monotonic_now();
}

void migrator::stop()
{
    is_stopped_ = true;
    if (is_settled_)
        release();
}

asio::awaitable<std::optional<migrated_run>>
migrator::outcome(core::time_point end)
{
    // The stream may forget a migration that settled before its waiter goes
    // on.
    const auto kept = shared_from_this();
    while (!is_settled_ && core::monotonic_now() < end) {
        settled_signal_.expires_after(end - core::monotonic_now());
        boost::system::error_code woken;
        co_await settled_signal_.async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
    }
    co_return moved_;
}

asio::awaitable<void> migrator::take_turn()
{
    const placement::server_id& source = source_->server().id;
    turn_ = context_.copy_queue.enqueue(source, urgency_);
    while (!is_stopped_ && !context_.copy_queue.try_start(source, turn_))
        co_await async_sleep(context_.executor, turn_pause);
}

void migrator::end_turn()
{
    context_.copy_queue.end(source_->server().id, turn_);
}

asio::awaitable<void> migrator::work()
{
    co_await take_turn();
    if (!is_stopped_)
        co_await move();
}

asio::awaitable<void> migrator::move()
{
    while (!is_stopped_ && !is_broken_ &&
           core::monotonic_now() - began_ < longest_leaving) {
        if (!choose_destination()) {
            if (!has_to_leave())
                co_return;
            co_await async_sleep(context_.executor, retry_pause);
            continue;
        }
        const copies_outcome copied = co_await copy_while_running();
        if (copied == copies_outcome::nearly_all && !is_stopped_) {
            claim_links(link_claim_span);
            co_await copy_last();
            claim_links(core::duration::zero());
            if (moved_)
                co_return;
            co_await async_sleep(context_.executor, retry_pause);
        } else if (!has_to_leave() && !is_broken_) {
            co_return;
        } else if (copied == copies_outcome::not_begun) {
            // Others of this host can be copied meanwhile.
            end_turn();
            co_await async_sleep(context_.executor, retry_pause);
            co_await take_turn();
        }
    }
    // The last copy also tells whether the run is really gone: nobody may go
    // on with it while it is still at work.
    if (is_broken_ && copied_ && !is_stopped_)
        co_await copy_last();
}

asio::awaitable<void> migrator::wait_for_links()
{
    const std::vector<placement::server_id> links{
        source_->server().id, destination_->id};
    const core::time_point end = core::monotonic_now() + longest_link_wait;
    while (!is_stopped_ && core::monotonic_now() < end &&
           context_.claims.is_claimed(links, core::monotonic_now()))
        co_await async_sleep(context_.executor, turn_pause);
}

void migrator::claim_links(core::duration hold)
{
    if (!context_.broadcast)
        return;
    const auto hold_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(hold).count();
    context_.broadcast(wire::link_claim{
        {source_->server().id.value(), destination_->id.value()},
        static_cast<std::uint32_t>(hold_ms)});
}

placement::placement_request migrator::wanted() const
{
    if (!has_to_leave())
        return placement::zone_rebalancer(context_.settings.zone)
            .make_request(call_->service, work_);
    placement::placement_request wanted;
    wanted.service = &call_->service;
    wanted.work = work_;
    wanted.purpose = placement::placement_purpose::migration;
    // A copy takes twice as long to another zone.
    wanted.preferred_zone = source_->server().zone;
    return wanted;
}

bool migrator::choose_destination()
{
    placement::placement_request request = wanted();
    request.excluded = refused_;
    request.excluded.push_back(source_->server().id);
    const auto found = context_.placer.choose(request, core::monotonic_now());
    if (!found) {
        // Whoever refused a moment ago may have room now.
        refused_.clear();
        return false;
    }
    log_migration_chosen(
        *call_,
        source_->server(),
        *found,
        has_to_leave() ? "server_leaves" : "rebalance");
    destination_ = found->server;
    reserved_.reset();
    placement::work_size arriving = work_;
    arriving.arriving_tokens = work_.tokens;
    reserved_.emplace(context_, destination_->id, arriving);
    return true;
}

asio::awaitable<migrator::copies_outcome> migrator::copy_while_running()
{
    int failures = 0;
    for (int copies = 0; copies < most_running_copies && !is_stopped_;) {
        // The first copy is long; after it the links are needed for the
        // short ones.
        if (copies == 0)
            co_await wait_for_links();
        else
            claim_links(link_claim_span);
        const core::time_point before = core::monotonic_now();
        const copy_response answer = co_await copy(copy_phase::pre_copy);
        const core::duration took = core::monotonic_now() - before;
        switch (answer.status) {
        case copy_status::done:
            ++copies;
            reserved_->on_kv_cache_received();
            if (answer.handle)
                copied_ = migrated_run{*destination_, *answer.handle};
            if (is_broken_)
                co_return copies_outcome::broken;
            if (took <= short_copy || copies == most_running_copies)
                co_return copies_outcome::nearly_all;
            break;
        case copy_status::refused:
            refused_.push_back(destination_->id);
            co_return copies_outcome::no_room;
        case copy_status::not_running:
            co_return copies_outcome::not_begun;
        case copy_status::failed:
        case copy_status::unreachable:
            if (++failures >= most_failures) {
                refused_.push_back(destination_->id);
                co_return copies_outcome::no_room;
            }
            [[fallthrough]];
        case copy_status::busy:
            co_await async_sleep(context_.executor, retry_pause);
            if (is_broken_ || core::monotonic_now() - began_ > longest_leaving)
                co_return copies_outcome::broken;
            break;
        }
    }
    co_return copies_outcome::broken;
}

asio::awaitable<void> migrator::copy_last()
{
    const copy_response answer = co_await copy(copy_phase::stop_and_copy);
    if (answer.status == copy_status::done && answer.handle) {
        moved_ = migrated_run{*destination_, *answer.handle};
        co_return;
    }
    if (answer.status == copy_status::refused && answer.handle) {
        // The run stopped, and its memory stayed where it was.
        moved_ = migrated_run{source_->server(), *answer.handle};
        co_return;
    }
    // No run there, or no source: what was copied while it ran is all there
    // is. The destination reads again what came later.
    const bool is_gone = answer.status == copy_status::not_running ||
                         answer.status == copy_status::unreachable;
    if (is_broken_ && is_gone)
        moved_ = copied_;
}

asio::awaitable<copy_response> migrator::copy(copy_phase phase)
{
    copy_request order{
        call_->metadata.attempt_id, destination_->address, phase};
    http::request outgoing = context_.codec.write_copy_request(order);
    const http::fetch_limits limits{.deadline = copy_limit};
    const core::time_point before = core::monotonic_now();
    const auto answered = co_await http::fetch(
        *context_.connections,
        source_->server().address,
        std::move(outgoing),
        limits);
    copy_response answer;
    answer.status = copy_status::unreachable;
    if (answered)
        answer = context_.codec.read_copy_response(*answered);
    if (answer.handle)
        handle_ = answer.handle;
    log_migration(
        *call_,
        source_->server(),
        destination_->id.value(),
        std::string(name_of(answer.status)) +
            (phase == copy_phase::stop_and_copy ? "_last_" : "_running_") +
            (answered ? std::to_string(answered->status)
                      : answered.error().cause.message()),
        core::monotonic_now() - before);
    co_return answer;
}

void migrator::settle()
{
    is_settled_ = true;
    settled_signal_.cancel();
    if (is_stopped_ || !moved_)
        release();
}

// A copy that nobody goes on from would hold memory at both servers.
void migrator::release()
{
    reserved_.reset();
    if (!handle_)
        return;
    spawn(
        context_.executor,
        "copy_release",
        [&context = context_,
         source = source_->server().address,
         handle =
             *std::exchange(handle_, std::nullopt)]() -> asio::awaitable<void> {
            http::request outgoing = context.codec.write_copy_release(handle);
            const http::fetch_limits limits{.deadline = copy_limit};
            // The server frees the copy by itself some seconds later.
            [[maybe_unused]] const auto freed = co_await http::fetch(
                *context.connections, source, std::move(outgoing), limits);
        });
}

} // namespace godwit::entry
