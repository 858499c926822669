#pragma once

#include <godwit/entry/attempt_race.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/quarantine_gate.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/running_attempt.hpp>
#include <godwit/entry/running_call.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/telemetry/request_metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace godwit::entry {

/// Serves a request whose response is delivered in one piece: sends it, retries
/// it where that is allowed and can help, and delivers one response.
class buffered_call : public running_call,
                      public std::enable_shared_from_this<buffered_call>
{
public:
    buffered_call(entry_context& context, routed_call call);

    boost::asio::awaitable<void> run();

    [[nodiscard]] const routed_call& call() const override { return call_; }

    [[nodiscard]] call_progress progress() const override;

    void on_shutdown() override {}

    void on_response_due() override;

private:
    /// The outcome of one attempt.
    struct attempt_result
    {
        placement::server_id server; ///< Empty if nothing was sent.
        std::optional<http::response> response;
        memory::client_account::holder held;   ///< By the response.
        std::optional<refusal_reason> refusal; ///< Set if there is no response.
        bool may_have_run = true;
        /// The response is delivered only if no other server has a better one.
        bool is_failure = true;
    };

    /// Whether the request is quarantined; `last` then holds what to respond
    /// with.
    [[nodiscard]] bool apply_quarantine(attempt_result& last);
    /// Whether the host ends too soon for another attempt; `last` then holds
    /// what to respond with.
    [[nodiscard]] bool apply_shutdown(attempt_result& last) const;
    [[nodiscard]] bool may_retry(core::time_point now);
    [[nodiscard]] core::time_point attempt_end(core::time_point now);
    boost::asio::awaitable<std::optional<placement::backend_server>>
    choose_server();
    /// Runs an attempt and, if the hedging policy asks for it, a second one;
    /// returns the first usable result.
    boost::asio::awaitable<attempt_result>
    attempt_hedged(placement::backend_server server);
    /// Takes the results of ended attempts into `best`; returns whether no
    /// further one has to be waited for.
    [[nodiscard]] static bool take_results(
        attempt_race<attempt_result>& race,
        std::optional<attempt_result>& best);
    /// Returns whether a second attempt was started.
    boost::asio::awaitable<bool> start_second_attempt(
        attempt_race<attempt_result>& race, placement::server_id first);
    /// Returns the server of a second attempt; nothing if there is none that is
    /// not slow or the retry budget is spent.
    boost::asio::awaitable<std::optional<placement::backend_server>>
    choose_second_server();
    void start_attempt(
        attempt_race<attempt_result>& race,
        const placement::backend_server& server);
    boost::asio::awaitable<attempt_result>
    attempt(std::shared_ptr<running_attempt> running);
    boost::asio::awaitable<attempt_result>
    send_and_judge(std::shared_ptr<running_attempt> running);
    [[nodiscard]] std::shared_ptr<running_attempt>
    begin_attempt(const placement::backend_server& server);
    void record_hedged_call(
        const attempt_result& result,
        const placement::server_id& first,
        core::duration taken);
    void cancel_attempts();
    /// Attempts that a server has executed or may execute.
    [[nodiscard]] unsigned runs_begun() const noexcept;
    static void
    replace_unless_worse(attempt_result& last, attempt_result current);
    boost::asio::awaitable<void> deliver(attempt_result result);
    boost::asio::awaitable<void> refuse(refusal_reason reason);
    void on_caller_disconnected();

    entry_context& context_;
    routed_call call_;
    quarantine_gate gate_;
    unsigned runs_ = 0; ///< Attempts that a server may have executed.
    unsigned refusals_ = 0;
    std::vector<placement::server_id> tried_;
    std::vector<std::shared_ptr<running_attempt>> active_;
    wait_queue::waiter* waiter_ = nullptr;
    telemetry::request_metrics metrics_;
    /// Time until a limited server accepts another request.
    core::duration limit_wait_{};
    /// Whether every untried server is in an evacuated zone.
    bool are_zones_evacuated_ = false;
    /// Whether no server is in a region that the request may use.
    bool are_regions_empty_ = false;
    /// Whether this host has no memory for an attempt.
    bool is_host_exhausted_ = false;
    bool is_caller_disconnected_ = false;
    bool is_delivered_ = false;
    /// Whether the host is about to end and the caller has no response.
    bool is_response_due_ = false;
};

} // namespace godwit::entry
