#pragma once

#include <godwit/admission/resumption_policy.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/capacity_search.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/event_splitter.hpp>
#include <godwit/entry/migrator.hpp>
#include <godwit/entry/quarantine_gate.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/reservation.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/running_call.hpp>
#include <godwit/entry/running_stream.hpp>
#include <godwit/entry/stream_observer.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/placement/event_gap_tracker.hpp>
#include <godwit/placement/zone_rebalancer.hpp>
#include <godwit/telemetry/request_metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::entry {

/// Serves a request whose response is an event stream. When its server leaves,
/// the same generation resumes at another server. It runs at most once, unless
/// its route is resumable: then a new run may go on after the last event that
/// the caller received.
class stream_call : public running_call,
                    public running_stream,
                    public std::enable_shared_from_this<stream_call>
{
public:
    stream_call(entry_context& context, routed_call call);
    ~stream_call() override;

    stream_call(const stream_call&) = delete;
    stream_call& operator=(const stream_call&) = delete;

    boost::asio::awaitable<void> run();

    [[nodiscard]] const routed_call& call() const override { return *call_; }

    [[nodiscard]] call_progress progress() const override;

    void on_shutdown() override { search_.on_shutdown(); }

    void on_response_due() override;

    void on_server_draining() override;

    void on_server_restarted() override;

    void on_routes_changed() override;

    [[nodiscard]] core::duration idle_time(core::time_point now) const override;

    [[nodiscard]] const routed_call* sustained_call() const override;

private:
    /// How long it may take until it is known whether the source server of a
    /// migration has stopped the generation.
    static constexpr core::duration source_stop_timeout =
        std::chrono::seconds(3);

    boost::asio::awaitable<bool> start();
    boost::asio::awaitable<std::optional<http::response_head>>
    send_to(placement::backend_server server);
    boost::asio::awaitable<std::optional<http::response_head>>
    handle_response_head(http::response_head head);
    boost::asio::awaitable<void> relay(http::response_head head);
    boost::asio::awaitable<bool> relay_events(std::string bytes);
    /// Whether the stream, whose response has ended, is the whole one.
    boost::asio::awaitable<bool> is_whole();
    boost::asio::awaitable<std::optional<http::response_head>>
    resume_elsewhere();
    boost::asio::awaitable<std::optional<http::response_head>>
    resume_at(migrated_run migrated);
    /// Finds a server that may get the request now. Returns nothing if there is
    /// none; `search_failure_` then holds the reason.
    boost::asio::awaitable<std::optional<placement::backend_server>>
    find_server();
    /// Whether a new run may start after one that was lost or failed. Takes it
    /// from the retry budget if so.
    [[nodiscard]] bool start_new_run();
    /// Goes on in new runs until one is relayed. Returns false if none may.
    boost::asio::awaitable<bool> resume_by_new_run();
    enum class new_run_result
    {
        running,
        failed,
        not_begun, ///< The server did not take the request.
    };
    boost::asio::awaitable<new_run_result>
    begin_new_run_at(placement::backend_server server);
    void log_new_run(
        const placement::backend_server& source, std::string_view result) const;
    /// Answers a request that no server serves any more.
    boost::asio::awaitable<void> respond_unserved(refusal_reason reason);
    boost::asio::awaitable<void> refuse(refusal_reason reason);
    boost::asio::awaitable<void> forward_failure(http::response_head head);
    boost::asio::awaitable<void> handle_send_failure(upstream_failure failure);
    /// Records that the active server sent no response head, and excludes it.
    void record_send_failure(const upstream_failure& failure);
    /// Whether a migration may have stopped the run at the active server.
    boost::asio::awaitable<bool> may_have_been_stopped();
    [[nodiscard]] http::request request_for(
        const placement::server_id& server,
        std::optional<resume_point> resume_from) const;
    [[nodiscard]] admission::generation_size size() const;
    [[nodiscard]] placement::work_size migrated_work() const;
    [[nodiscard]] std::uint64_t remaining_tokens() const;
    void exclude_server(const placement::backend_server& server);
    void attach_to(std::shared_ptr<upstream> server_exchange);
    void detach_from_server();
    void stop_migration();
    void discard_failed_migration();
    void migrate(migration_cause cause);
    void consider_rebalancing();
    void record_loss_at(const placement::backend_server& server);
    void release_unused_hold(const placement::backend_server& server);
    void record_event_gap();
    /// The bytes of an event that is not whole, if each exchange has no room
    /// for them.
    [[nodiscard]] std::size_t large_event_bytes() const noexcept;
    boost::asio::awaitable<bool> write_to_caller(std::string ready);
    void on_caller_disconnected();
    void interrupt(std::string_view cause);

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    std::shared_ptr<upstream> active_;
    quarantine_gate gate_;
    capacity_search search_;
    std::unique_ptr<reservation> reserved_;
    std::optional<std::string> hold_;
    std::shared_ptr<migrator> migration_;
    placement::zone_rebalancer rebalancer_;
    event_splitter event_splitter_;
    std::size_t held_event_bytes_ = 0; ///< By `active_`.
    admission::event_sequence sequence_;
    stream_timing timing_;
    stream_observer observer_;
    placement::event_gap_tracker event_gaps_;
    core::time_point sent_at_{};
    std::optional<core::time_point> last_relayed_;
    std::uint64_t events_in_response_ = 0; ///< Of the active server.
    /// Whether a migration that was discarded may have stopped the run.
    bool has_earlier_stop_ = false;
    unsigned refusals_ = 0;
    unsigned runs_ = 0; ///< Runs that a server may have begun.
    /// A server's own failure response, for a caller who gets no better one.
    std::optional<http::response> failure_response_;
    memory::client_account::holder failure_held_; ///< By that response.
    refusal_reason search_failure_ = refusal_reason::no_room;
    bool is_registered_ = false;
    bool is_waiting_ = true; ///< No server has the request.
    telemetry::request_metrics metrics_;
    bool is_caller_disconnected_ = false;
    /// Whether the host is about to end and the caller has no response.
    bool is_response_due_ = false;
};

} // namespace godwit::entry
