#include <godwit/entry/report_poller.hpp>

#include <godwit/entry/control_exchange.hpp>
#include <godwit/entry/server_responses.hpp>
#include <godwit/entry/spawn.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Timeout of a poll. A report needs no slot at the server, so that a server
// that takes longer counts as one that cannot be reached.
constexpr core::duration report_timeout = std::chrono::milliseconds(600);

constexpr unsigned ok = 200;

// A report of a later process means that the polled one has ended, which the
// list of servers reports. A report of an earlier process is not about the
// polled one.
bool reports_draining(
    const placement::backend_server& polled, const server_report& report)
{
    const bool is_from_earlier_process =
        report.start.is_known() && report.start < polled.start;
    return report.is_draining && !is_from_earlier_process;
}

} // namespace

report_poller::report_poller(
    entry_context& context,
    std::function<void(const placement::backend_server&)> on_draining)
    : context_(context), on_draining_(std::move(on_draining))
{}

void report_poller::poll_servers_in_use()
{
    for (const auto& id : context_.streams.servers())
        start_poll(id);
}

void report_poller::poll_own_share(
    const placement::host_group& cell, core::time_point now)
{
    for (const auto& id : context_.streams.servers()) {
        if (!context_.ledger.has_earlier_report(
                id, context_.settings.host, cell, now))
            start_poll(id);
    }
}

void report_poller::start_poll(const placement::server_id& id)
{
    const placement::backend_server* server = context_.directory.find(id);
    const bool should_poll =
        server != nullptr && context_.directory.is_usable(id) &&
        !context_.health.has_requested_backoff(id, core::monotonic_now());
    if (!should_poll || !pending_.insert(id).second)
        return;
    // However the poll ends, the server may be polled again.
    spawn(
        context_.executor,
        "report",
        [this, polled = *server]() -> asio::awaitable<void> {
            co_await poll(polled);
        },
        [this, id] { pending_.erase(id); });
}

asio::awaitable<void> report_poller::poll(placement::backend_server server)
{
    control_request asked;
    asked.message = context_.codec.write_report_request(server.id);
    asked.timeout = report_timeout;
    asked.is_repeatable = true;
    asked.accepts = [this](const http::response& received) {
        const auto report = context_.codec.read_report(received);
        return received.status != ok || (report && report->names_state);
    };
    const core::time_point sent_at = core::monotonic_now();
    const auto response =
        co_await exchange_control(context_, server, std::move(asked));
    // A server that does not respond may be cut off from this host alone; its
    // streams handle that themselves.
    if (!response)
        co_return;
    observe_response(context_, server, *response, sent_at);
    const auto report = context_.codec.read_report(*response);
    if (!report) {
        telemetry::log_event(
            telemetry::log_level::warning,
            "entry",
            "report_refused",
            {{"server", server.id}, {"cause", report.error().message()}});
        co_return;
    }
    if (reports_draining(server, *report))
        on_draining_(server);
}

} // namespace godwit::entry
