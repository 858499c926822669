#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";

} // namespace

asio::awaitable<void> entry_process::answer_readiness(http::exchange& exchange)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    const bool ready = is_ready();
    if (ready != was_ready_)
        log_event(log_level::info, component, "readiness", {{"ready", ready}});
    was_ready_ = ready;
    http::response response;
    response.status = ready ? ok : unavailable;
    response.fields.set("Content-Type", "text/plain");
    response.body = ready ? "ready\n" : "not ready\n";
    [[maybe_unused]] const auto sent =
        co_await exchange.respond(std::move(response));
}

void entry_process::set_gauges()
{
    const auto set = [this](const char* name, const char* help, double value) {
        context_.metrics->gauge(name, help).Set(value);
    };
    set("godwit_table_version",
        "The version of the route table in force; 0 before the first.",
        context_.routes ? static_cast<double>(context_.routes->version()) : 0);
    set("godwit_servers_known",
        "Backend servers that are known, with those that left lately.",
        static_cast<double>(context_.directory.size()));
    set("godwit_streams_running",
        "Streams that are being relayed.",
        static_cast<double>(context_.streams.size()));
    set("godwit_requests_waiting",
        "Requests that wait for room at the backend servers.",
        static_cast<double>(context_.queue.size()));
    const memory::amounts held = context_.account->used();
    set("godwit_client_memory_bytes",
        "Memory that clients make this host hold.",
        static_cast<double>(held.bytes));
    set("godwit_client_descriptors",
        "Descriptors that clients make this host hold.",
        static_cast<double>(held.descriptors));
    set("godwit_clients_evicted",
        "Connections that were closed or refused to make room for others.",
        static_cast<double>(context_.account->evictions()));
    set("godwit_clients_without_room",
        "Requests for memory or descriptors for which there was no room.",
        static_cast<double>(context_.account->refusals()));
    set("godwit_link_use",
        "Share of the host's network link that callers' requests use.",
        context_.link.use(core::monotonic_now()));
    set("godwit_requests_suspected",
        "Requests under which backend servers crashed lately.",
        static_cast<double>(context_.quarantine.size()));
    set("godwit_requests_quarantined",
        "Requests that are sent to no server, because they crash them.",
        static_cast<double>(context_.quarantine.quarantined_count()));
    set("godwit_servers_limited",
        "Backend servers that name a limit.",
        static_cast<double>(context_.limits.limits().size()));
    set("godwit_zones_evacuated",
        "Availability zones whose servers get no requests.",
        static_cast<double>(context_.evacuations.count()));
    set("godwit_rollouts_running",
        "Services that move to another version of their servers.",
        static_cast<double>(context_.rollouts.running().size()));
    set("godwit_neighbours_linked",
        "Entry hosts with an open link.",
        static_cast<double>(neighbours_->open_links()));
    set("godwit_server_list_current",
        "1 while this host reads the list of servers at its source.",
        outage_.is_current() ? 1 : 0);
}

std::string entry_process::state_text() const
{
    boost::json::object state;
    state["host"] = context_.settings.host.value();
    state["ready"] = is_ready();
    state["stopping"] = context_.is_stopping();
    state["table_version"] = context_.routes ? context_.routes->version() : 0;
    state["servers"] = context_.directory.size();
    boost::json::array evacuated;
    for (const placement::zone_evacuation& each :
         context_.evacuations.changes()) {
        if (each.is_evacuated)
            evacuated.emplace_back(each.zone.value());
    }
    state["evacuated_zones"] = std::move(evacuated);
    boost::json::array rollouts;
    for (const rollout::rollout_status& each : context_.rollouts.all())
        rollouts.push_back(boost::json::object{
            {"service", each.order.service.value()},
            {"to", each.order.target.value()},
            {"state", rollout::to_string(each.state)},
            {"recorded", each.is_recorded}});
    state["rollouts"] = std::move(rollouts);
    state["streams"] = context_.streams.size();
    state["waiting"] = context_.queue.size();
    state["link_use"] = context_.link.use(core::monotonic_now());
    state["connections"] = callers_->open_connections();
    return boost::json::serialize(state);
}

asio::awaitable<void> entry_process::answer_operator(http::exchange& exchange)
{
    constexpr unsigned not_found = 404;
    http::response response;
    response.fields.set("Content-Type", "application/json");
    if (exchange.received().target == "/state") {
        response.body = state_text();
    } else if (exchange.received().target == "/metrics") {
        set_gauges();
        response.fields.set("Content-Type", telemetry::metrics::content_type);
        response.body = context_.metrics->serialise();
    } else {
        response.status = not_found;
        response.body =
            R"({"title":"no such page; ask for /state or /metrics"})";
    }
    [[maybe_unused]] const auto sent =
        co_await exchange.respond(std::move(response));
}

} // namespace godwit::entry
