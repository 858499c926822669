#include <godwit/entry/report_poller.hpp>

#include <godwit/entry/spawn.hpp>
#include <godwit/http/fetch.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// A report needs no slot; a server that takes longer cannot be reached.
constexpr core::duration report_timeout = std::chrono::milliseconds(600);

// A life that came after the one that was asked means that this one has gone;
// the list tells of it. What an earlier one says is not the asked one's.
bool reports_draining(
    const placement::backend_server& asked, const server_report& report)
{
    const bool is_of_former_life =
        report.start.is_known() && report.start < asked.start;
    return report.is_draining && !is_of_former_life;
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

void report_poller::poll_all_engines()
{
    if (!context_.routes)
        return;
    for (const auto& id : context_.directory.ids()) {
        if (context_.routes->has_engines(context_.directory.find(id)->service))
            start_poll(id);
    }
}

void report_poller::start_poll(const placement::server_id& id)
{
    const placement::backend_server* server = context_.directory.find(id);
    const bool is_worth_asking =
        server != nullptr && context_.directory.is_usable(id);
    if (!is_worth_asking || !pending_.insert(id).second)
        return;
    // However the question ends, the server may be asked again.
    spawn(
        context_.executor,
        "report",
        [this, asked = *server]() -> asio::awaitable<void> {
            co_await poll(asked);
        },
        [this, id] { pending_.erase(id); });
}

asio::awaitable<void> report_poller::poll(placement::backend_server server)
{
    http::request question = context_.codec.write_report_request();
    const http::fetch_limits limits{.deadline = report_timeout};
    const auto answered = co_await http::fetch(
        *context_.connections, server.address, std::move(question), limits);
    // A server that does not answer may be cut off from this host alone; its
    // streams decide for themselves.
    if (!answered)
        co_return;
    const auto report = context_.codec.read_report(*answered);
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
