#include <godwit/entry/server_probe.hpp>

#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/control_exchange.hpp>
#include <godwit/entry/server_responses.hpp>
#include <godwit/http/fetch.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Another server has the address (RFC 9110, section 15.5.20).
constexpr unsigned misdirected_request_status = 421;
// A server that is at its limit of connections resets new ones.
constexpr core::duration retry_interval = std::chrono::milliseconds(50);

core::duration time_until(core::time_point end)
{
    return std::max(end - core::monotonic_now(), core::duration::zero());
}

/// One probe of a server.
class process_probe
{
public:
    process_probe(
        entry_context& context,
        const placement::backend_server& server,
        core::time_point end)
        : context_(context), server_(server), end_(end)
    {
        const routing::service* service =
            context.routes ? context.routes->find_service(server.service)
                           : nullptr;
        is_known_ = service != nullptr;
        is_engine_ = service != nullptr && service->engine;
        if (is_engine_)
            request_ = context.codec.write_report_request(server.id);
        else if (service != nullptr && !service->health_path.empty())
            request_ = context.codec.write_health_request(
                server.id, service->health_path);
    }

    asio::awaitable<process_state> run()
    {
        process_state state = co_await ask_on_kept_connection();
        while (state == process_state::unknown &&
               core::monotonic_now() < end_) {
            state = co_await ask_on_new_connection();
            if (state == process_state::unknown)
                co_await async_sleep(
                    context_.executor,
                    std::min(retry_interval, time_until(end_)));
        }
        co_return state;
    }

private:
    // A kept connection needs no place among the server's connections, of which
    // it may have no more.
    asio::awaitable<process_state> ask_on_kept_connection()
    {
        if (!request_)
            co_return process_state::unknown;
        control_request asked;
        asked.message = *request_;
        // A health check waits for a slot like any other request.
        asked.timeout = is_engine_ ? std::min(probe_timeout, time_until(end_))
                                   : time_until(end_);
        asked.is_repeatable = true;
        const core::time_point sent_at = core::monotonic_now();
        const auto response =
            co_await exchange_control(context_, server_, std::move(asked));
        if (response)
            co_return judge(*response, sent_at);
        co_return state_after_silence(
            response.error().fault == upstream_fault::timed_out);
    }

    asio::awaitable<process_state> ask_on_new_connection()
    {
        // A neighbour confirms that the server, not this host, is cut off.
        auto opened = co_await context_.connector.open_any_way(
            server_.address, std::min(probe_timeout, time_until(end_)));
        if (!opened)
            co_return process_state::gone;
        if (!request_)
            co_return is_known_ ? process_state::running
                                : process_state::responding;
        const http::fetch_limits limits{.deadline = time_until(end_)};
        const core::time_point sent_at = core::monotonic_now();
        http::request outgoing = *request_;
        const auto response = co_await http::fetch(
            *opened, server_.address, std::move(outgoing), limits);
        if (response)
            co_return judge(*response, sent_at);
        co_return state_after_silence(
            response.error().cause.kind() == core::error_kind::timeout);
    }

    // The kernel resets a connection to a process that is gone.
    [[nodiscard]] process_state state_after_silence(bool is_silent) const
    {
        return is_silent && !is_engine_ ? process_state::running
                                        : process_state::unknown;
    }

    process_state
    judge(const http::response& response, core::time_point sent_at)
    {
        const process_state state = state_after(response);
        if (state != process_state::gone)
            observe_response(context_, server_, response, sent_at);
        return state;
    }

    [[nodiscard]] process_state
    state_after(const http::response& response) const
    {
        const response_metadata metadata =
            context_.codec.read_response_metadata(response.fields);
        const bool is_of_other_server =
            response.status == misdirected_request_status ||
            (!metadata.server.empty() && metadata.server != server_.id.value());
        if (is_of_other_server)
            return process_state::gone;
        // A health check may be rejected like any other request.
        if (!is_engine_)
            return process_state::running;
        const auto report = context_.codec.read_report(response);
        if (!report || !report->names_state)
            return process_state::responding;
        // Either start time may be unknown; only two known ones that differ
        // show a restart.
        const bool has_restarted = report->start.is_known() &&
                                   server_.start.is_known() &&
                                   report->start != server_.start;
        if (has_restarted)
            return process_state::gone;
        return report->is_draining ? process_state::leaving
                                   : process_state::running;
    }

    entry_context& context_;
    const placement::backend_server& server_;
    core::time_point end_;
    bool is_known_ = false; ///< The route table has its service.
    bool is_engine_ = false;
    std::optional<http::request> request_;
};

} // namespace

asio::awaitable<process_state> probe_process(
    entry_context& context,
    placement::backend_server server,
    core::time_point end)
{
    process_probe probe(context, server, end);
    co_return co_await probe.run();
}

} // namespace godwit::entry
