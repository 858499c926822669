#include <godwit/entry/stream_call.hpp>

#include <godwit/entry/lost_runs.hpp>
#include <godwit/entry/version_responses.hpp>

#include <utility>

// How a stream whose run was lost goes on in a new run.

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// The number of servers that may refuse a request before this host gives up.
constexpr unsigned max_refusals = 3;
constexpr unsigned min_failure_status = 300;

} // namespace

bool stream_call::start_new_run()
{
    const core::time_point now = core::monotonic_now();
    const auto verdict = admission::judge_resumption(
        {.is_resumable = call_->route.is_resumable,
         .is_position_known = !call_->metadata.has_invalid_last_event,
         .runs = runs_,
         .max_runs = call_->route.max_attempts,
         .deadline = call_->deadline,
         .is_host_stopping = context_.is_stopping()},
        now);
    if (verdict == admission::resumption_verdict::not_resumable)
        return false;
    if (verdict != admission::resumption_verdict::allowed) {
        log_new_run(active_->server(), to_string(verdict));
        return false;
    }
    if (!context_.budgets.try_spend(call_->service.name, now)) {
        log_new_run(active_->server(), "no_budget");
        return false;
    }
    context_.metrics
        ->counter(
            "godwit_stream_new_runs_total",
            "New runs of resumable streams that lost theirs.")
        .Increment();
    // Its next event is already late, whatever the request waited before.
    search_.restart(now);
    log_new_run(active_->server(), "started");
    return true;
}

void stream_call::log_new_run(
    const placement::backend_server& source, std::string_view result) const
{
    log_stream_new_run(*call_, source, runs_, sequence_.last(), result);
}

asio::awaitable<bool> stream_call::resume_by_new_run()
{
    ++runs_;
    bool is_approved = start_new_run();
    while (is_approved) {
        const placement::backend_server source = active_->server();
        // The former run must not go on beside the new one.
        active_->cancel();
        detach_from_server();
        exclude_server(source);
        auto server = co_await find_server();
        if (is_caller_disconnected_)
            co_return false;
        if (!server) {
            log_new_run(source, to_string(search_failure_));
            co_return false;
        }
        const auto result = co_await begin_new_run_at(std::move(*server));
        if (is_caller_disconnected_)
            co_return false;
        if (result == new_run_result::running) {
            log_new_run(source, "resumed");
            context_.metrics
                ->counter(
                    "godwit_stream_new_runs_resumed_total",
                    "Streams that go on in a new run, as their callers see.")
                .Increment();
            co_return true;
        }
        if (result == new_run_result::not_begun)
            ++refusals_;
        else
            ++runs_;
        is_approved = refusals_ < max_refusals && start_new_run();
    }
    co_return false;
}

asio::awaitable<stream_call::new_run_result>
stream_call::begin_new_run_at(placement::backend_server server)
{
    sent_at_ = core::monotonic_now();
    attach_to(std::make_shared<upstream>(
        context_, server, call_->route.latency_objective));
    // Nothing of an incomplete event of the former run is delivered.
    event_splitter_ = event_splitter();
    event_gaps_ = placement::event_gap_tracker();
    http::request outgoing = request_for(server.id, std::nullopt);
    auto head = co_await active_->send(
        std::move(outgoing), call_->metadata.attempt_id, call_->deadline);
    const bool was_handed_over =
        head || head.error().fault != upstream_fault::unreachable;
    if (was_handed_over)
        hold_.reset();
    else
        release_unused_hold(server);
    if (is_caller_disconnected_)
        co_return new_run_result::failed;
    if (!head) {
        record_send_failure(head.error());
        co_return was_handed_over ? new_run_result::failed
                                  : new_run_result::not_begun;
    }
    const response_metadata response =
        context_.codec.read_response_metadata(head->fields);
    if (response.is_not_run) {
        log_send_failed(
            *call_, server, "not_run", std::to_string(head->status));
        context_.health.record_full(server.id, core::monotonic_now());
        co_return new_run_result::not_begun;
    }
    if (head->status < min_failure_status && response.is_signed)
        co_return new_run_result::running;
    log_send_failed(
        *call_,
        server,
        response.is_signed ? "failed" : "unsigned",
        std::to_string(head->status));
    context_.health.record_failure(server.id);
    record_version_response(
        context_, *call_, server, response_verdict::failed, {});
    co_return new_run_result::failed;
}

} // namespace godwit::entry
