#pragma once

#include "answer_writer.hpp"
#include "backend_link.hpp"
#include "caller_request.hpp"
#include "claimed_run.hpp"
#include "completion_text.hpp"
#include "dispatch_answer.hpp"
#include "engine_event.hpp"
#include "problem.hpp"
#include "session_services.hpp"

#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/kept_answer.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/dispatch/end_reason.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/request/actions.hpp>
#include <godwit/request/events.hpp>
#include <godwit/request/life.hpp>
#include <godwit/request/timer.hpp>
#include <godwit/telemetry/request_metrics.hpp>
#include <godwit/wire/claim_answer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::proxy {

/// The request that started a generation: the generation's id begins with
/// the request's.
[[nodiscard]] core::request_id request_of(std::string_view generation);

/// Carries out one request: turns what happens on its sockets into events of
/// its life, and the life's actions into bytes. Runs on the strand of the
/// caller's connection and may outlive that connection.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    /// A session for `request`. Fails with `invalid_input` if the settings
    /// of the life are out of range.
    static core::result<std::shared_ptr<request_session>> create(
        const boost::asio::any_io_executor& executor,
        session_services& services,
        core::request_id id,
        caller_request request);

    /// Serves the request on `with` until the answer is written or the
    /// caller is gone.
    boost::asio::awaitable<void> serve(http::exchange& with);

    /// Tells the life from any thread.
    void post(request::event what);

    [[nodiscard]] const core::request_id& id() const noexcept { return id_; }

    [[nodiscard]] const core::service_name& service() const noexcept
    {
        return request_.service->name;
    }

    /// The session for the state dump, from any thread; what changes later
    /// is left out.
    [[nodiscard]] boost::json::object describe() const;

private:
    using executor_type = boost::asio::any_io_executor;

    request_session(
        const executor_type& executor,
        session_services& services,
        core::request_id id,
        caller_request request,
        std::shared_ptr<shared_budget> budget,
        request::life life,
        core::time_point now);

    // The life.
    void handle(const request::event& what);
    [[nodiscard]] request::accepted first_event() const;
    void end_if_finished();
    void log_end();

    void on(const request::ask_claim& what);
    void on(const request::release_claim& what);
    void on(const request::settle_claim& what);
    void on(const request::attach_to_holder& what);
    void on(const request::ask_dispatch& what);
    void on(const request::leave_dispatch& what);
    void on(const request::connect_to& what);
    void on(const request::send_request& what);
    void on(const request::resume_generation& what);
    void on(const request::announce_resumed& what);
    void on(const request::deliver_tokens& what);
    void on(const request::keep_tokens& what);
    void on(const request::discard_kept& what);
    void on(const request::deliver_answer& what);
    void on(const request::finish_stream& what);
    void on(const request::fail_request& what);
    void on(const request::cancel_generation& what);
    void on(const request::close_connection& what);
    void on(const request::keep_connection& what);
    void on(const request::set_timer& what);
    void on(const request::report_server& what);
    void on(const request::note_preemption& what);
    void on(const request::record_decision& what);

    // The claim.
    void on_claim_answer(const wire::claim_answer& answer);
    boost::asio::awaitable<void> fetch_attached();
    [[nodiscard]] claims::kept_answer answer_to_keep() const;

    // Dispatch.
    [[nodiscard]] core::request_id dispatch_id(std::uint32_t ask) const;
    void on_dispatch_answer(std::uint32_t ask, const dispatch_answer& answer);
    void tell_dispatch_of_start();
    [[nodiscard]] dispatch::end_reason end_reason() const noexcept;

    // The backend server.
    using link_pointer = std::shared_ptr<backend_link>;
    boost::asio::awaitable<void>
    connect(link_pointer link, core::server_address server);
    boost::asio::awaitable<void> exchange(
        link_pointer link,
        http::request outgoing,
        std::optional<core::time_point> not_after);
    boost::asio::awaitable<void>
    read_generation(link_pointer link, http::response_head head);
    boost::asio::awaitable<void>
    read_call(link_pointer link, http::response_head head);
    boost::asio::awaitable<std::optional<std::string>>
    read_body(link_pointer link, std::size_t limit);
    boost::asio::awaitable<void> read_events(link_pointer link);
    [[nodiscard]] bool is_current(const link_pointer& link) const noexcept;
    void report_broken(const link_pointer& link);
    [[nodiscard]] http::request generation_request(
        const core::generation_id& generation, int priority) const;
    [[nodiscard]] http::request call_request() const;
    void take_event(engine_event event, const link_pointer& link);
    void flush_tokens(const link_pointer& link);

    // The caller.
    void begin_stream();
    void deliver_attached();
    void count_tokens(std::uint64_t count);
    [[nodiscard]] std::uint32_t estimated_prompt_tokens() const noexcept;
    [[nodiscard]] std::string resume_token_after(
        const core::generation_id& generation, std::uint64_t offset) const;
    void fire(request::timer which);

    executor_type executor_;
    session_services& services_;
    core::request_id id_;
    caller_request request_;
    std::shared_ptr<shared_budget> budget_;
    request::life life_;
    completion_text text_;
    telemetry::request_metrics metrics_;
    answer_writer writer_;
    core::time_point accepted_at_;

    std::deque<request::event> pending_;
    bool handling_ = false;
    bool ended_ = false;
    /// Why the request failed, as decisions and logs name it.
    std::string failed_because_;
    bool caller_left_ = false;
    std::string server_;

    /// What dispatch knows of the ask that it granted.
    enum class dispatch_state
    {
        none,
        asked,
        granted,
        started,
    };
    dispatch_state dispatch_state_ = dispatch_state::none;
    std::uint32_t dispatch_ask_ = 0;

    link_pointer link_;
    /// Tokens that arrived together and are not yet reported to the life.
    std::vector<engine_token> arrived_;
    std::string collected_;
    std::uint64_t collected_tokens_ = 0;
    std::string finish_reason_;
    http::response answer_;

    /// The claim of a request that may not be repeated, and whose run its
    /// answer comes from where that is another one.
    std::optional<claims::claim_key> claim_key_;
    std::optional<claimed_run> claim_;
    std::optional<claimed_run> attached_;

    std::array<std::optional<core::timer>, request::timer_count> timers_;
};

} // namespace godwit::proxy
