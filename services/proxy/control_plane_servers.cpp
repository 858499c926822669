// The backend servers: which there are, what is seen of them, and what
// dispatch hears of both.

#include "control_plane.hpp"

#include "poll_subset.hpp"
#include "sighting_of.hpp"

#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::chrono::seconds explore_interval{1};

std::vector<membership::listed_server>
static_servers(const proxy_settings& from)
{
    std::vector<membership::listed_server> servers;
    for (const auto& server : from.fixed.servers)
        servers.push_back(
            {server.address,
             server.service,
             server.zone,
             membership::listed_state::live});
    return servers;
}

} // namespace

void control_plane::take_servers(std::vector<membership::listed_server> servers)
{
    asio::post(control_, [this, servers = std::move(servers)]() mutable {
        listed_ = static_servers(settings_);
        listed_.insert(listed_.end(), servers.begin(), servers.end());
        refresh_polls();
        run(membership::host_list_read{listed_});
    });
}

void control_plane::take_entry_hosts(std::uint32_t count)
{
    asio::post(control_, [this, count] {
        if (count == 0 || count == entry_hosts_)
            return;
        log_event(
            log_level::info,
            component,
            "entry_hosts_changed",
            {{"from", entry_hosts_}, {"to", count}});
        entry_hosts_ = count;
        tell_of_policy();
        tell_of_servers();
    });
}

void control_plane::take_sign(membership::notice_received sign)
{
    asio::post(control_, [this, sign = std::move(sign)] { run(sign); });
}

void control_plane::report(
    core::server_address server, request::observation seen)
{
    asio::post(control_, [this, server = std::move(server), seen] {
        run(membership::server_observed{server, sighting_of(seen)});
    });
}

void control_plane::refresh_polls()
{
    auto polled = poll_subset(
        listed_, settings_.host, settings_.zone, settings_.backend.subset);
    polled.insert(eligible_.begin(), eligible_.end());
    poller_.set_servers(polled);
}

// After a change of the catalogue the servers that now fit may all be
// outside of the subset, and then nobody would ever ask them. One question a
// second finds them.
void control_plane::explore(core::time_point now)
{
    if (now < explore_due_ || listed_.empty())
        return;
    explore_due_ = now + explore_interval;
    const auto& any = listed_.at(random_.below(listed_.size()));
    if (any.state == membership::listed_state::live)
        poller_.ask(any.address);
}

void control_plane::on(const membership::publish_snapshot&)
{
    tell_of_servers();
}

void control_plane::tell_of_servers()
{
    const auto snapshot = pool_.snapshot();
    dispatch::servers_changed change;
    change.entry_hosts = entry_hosts_;
    eligible_.clear();
    for (const auto& pool : snapshot->pools()) {
        for (const auto* servers : {&pool.own_zone, &pool.other_zones}) {
            for (const auto& server : *servers) {
                change.servers.push_back(
                    {server.address, server.zone, pool.service, {}});
                eligible_.insert(server.address);
            }
        }
    }
    refresh_polls();
    run(std::move(change));
}

void control_plane::on(const membership::forward_notice& what)
{
    if (to_.on_sign)
        to_.on_sign(what);
}

void control_plane::on(const membership::probe_server& what)
{
    poller_.ask(what.server);
}

void control_plane::on(const membership::state_changed& what)
{
    log_event(
        log_level::info,
        component,
        "backend_server_changed",
        {{"server", what.server},
         {"from", membership::to_string(what.from)},
         {"to", membership::to_string(what.to)},
         {"why", what.reason}});
}

void control_plane::on(const membership::host_list_implausible& what)
{
    log_event(
        log_level::warning,
        component,
        "host_list_doubted",
        {{"missing", what.missing}, {"known", what.known}});
}

void control_plane::on_load(
    const core::server_address& server, const core::result<load_report>& answer)
{
    if (!answer) {
        log_event(
            log_level::debug,
            component,
            "load_poll_failed",
            {{"server", server}, {"why", answer.error().to_string()}});
        run(membership::server_observed{
            server, membership::health_observation::probe_failed});
        return;
    }
    run(membership::load_reported{
        server,
        answer->models,
        answer->adapters,
        answer->version,
        answer->leaving ? membership::listed_state::leaving
                        : membership::listed_state::live});
    run(dispatch::load_reported{
        server,
        core::monotonic_now() - answer->age,
        answer->running,
        answer->waiting,
        answer->memory_tokens_used,
        answer->memory_tokens_capacity});
}

} // namespace godwit::proxy
