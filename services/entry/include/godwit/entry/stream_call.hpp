#pragma once

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/capacity_search.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/event_splitter.hpp>
#include <godwit/entry/migrator.hpp>
#include <godwit/entry/quarantine_gate.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/reservation.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/running_stream.hpp>
#include <godwit/entry/stream_observer.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/placement/event_gap_tracker.hpp>
#include <godwit/placement/zone_rebalancer.hpp>
#include <godwit/telemetry/request_metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::entry {

/// Serves a request whose response is an event stream. The generation runs at
/// most once; when its server leaves, the same generation resumes at another
/// server.
class stream_call : public running_stream,
                    public std::enable_shared_from_this<stream_call>
{
public:
    stream_call(entry_context& context, routed_call call);
    ~stream_call() override;

    stream_call(const stream_call&) = delete;
    stream_call& operator=(const stream_call&) = delete;

    boost::asio::awaitable<void> run();

    void on_server_draining() override;

    void on_server_restarted() override;

    void on_routes_changed() override;

    [[nodiscard]] core::duration idle_time(core::time_point now) const override;

    [[nodiscard]] const routed_call* sustained_call() const override;

private:
    boost::asio::awaitable<bool> start();
    boost::asio::awaitable<std::optional<http::response_head>>
    send_to(placement::backend_server server);
    boost::asio::awaitable<std::optional<http::response_head>>
    handle_response_head(http::response_head head);
    boost::asio::awaitable<void> relay(http::response_head head);
    boost::asio::awaitable<bool> relay_events(std::string bytes);
    [[nodiscard]] bool is_whole() const;
    boost::asio::awaitable<std::optional<http::response_head>>
    resume_elsewhere();
    boost::asio::awaitable<std::optional<http::response_head>>
    resume_at(migrated_run migrated);
    boost::asio::awaitable<void> refuse(refusal_reason reason);
    boost::asio::awaitable<void> forward_failure(http::response_head head);
    boost::asio::awaitable<void> handle_send_failure(upstream_failure failure);
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
    std::uint64_t last_event_ = 0;
    stream_timing timing_;
    stream_observer observer_;
    placement::event_gap_tracker event_gaps_;
    core::time_point sent_at_{};
    std::optional<core::time_point> last_relayed_;
    unsigned refusals_ = 0;
    bool is_registered_ = false;
    telemetry::request_metrics metrics_;
    bool is_caller_disconnected_ = false;
};

} // namespace godwit::entry
