#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/quarantine_gate.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/telemetry/request_metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace godwit::entry {

/// Serves a request whose response is delivered in one piece: sends it, retries
/// it where that is allowed and can help, and delivers one response.
class buffered_call : public std::enable_shared_from_this<buffered_call>
{
public:
    buffered_call(entry_context& context, routed_call call);

    boost::asio::awaitable<void> run();

private:
    /// The outcome of one attempt.
    struct attempt_result
    {
        std::optional<http::response> response;
        std::optional<refusal_reason> refusal; ///< Set if there is no response.
        bool may_have_run = true;
        /// The response is delivered only if no other server has a better one.
        bool is_failure = true;
    };

    /// Whether the request is quarantined; `last` then holds what to respond
    /// with.
    [[nodiscard]] bool apply_quarantine(attempt_result& last);
    [[nodiscard]] bool may_retry(core::time_point now);
    [[nodiscard]] core::time_point attempt_end(core::time_point now);
    boost::asio::awaitable<std::optional<placement::backend_server>>
    choose_server();
    boost::asio::awaitable<attempt_result>
    attempt(placement::backend_server server);
    boost::asio::awaitable<void> deliver(attempt_result result);
    boost::asio::awaitable<void> refuse(refusal_reason reason);
    void on_caller_disconnected();

    entry_context& context_;
    routed_call call_;
    quarantine_gate gate_;
    unsigned runs_ = 0; ///< Attempts that a server may have executed.
    unsigned refusals_ = 0;
    std::vector<placement::server_id> tried_;
    std::shared_ptr<upstream> active_;
    wait_queue::waiter* waiter_ = nullptr;
    telemetry::request_metrics metrics_;
    /// Time until a limited server accepts another request.
    core::duration limit_wait_{};
    /// Whether every untried server is in an evacuated zone.
    bool are_zones_evacuated_ = false;
    /// Whether no server is in a region that the request may use.
    bool are_regions_empty_ = false;
    bool is_caller_disconnected_ = false;
};

} // namespace godwit::entry
