// The agent's links: what opens, arrives and closes on them, and the signs of
// backend servers that spread over them.

#include "agent.hpp"

#include <godwit/telemetry/log.hpp>

#include <utility>

namespace godwit::agent {

namespace {

using telemetry::log_event;
using telemetry::log_level;

} // namespace

wire::link_handlers agent::accepted_handlers()
{
    using link_pointer = std::shared_ptr<wire::link>;
    return {
        .on_open =
            [this](const link_pointer& link, const wire::hello& peer) {
                look_for_pause();
                if (peer.role == wire::peer_role::agent)
                    peers_->opened(link);
                else if (peer.role == wire::peer_role::proxy)
                    proxy_opened(link);
            },
        .on_message =
            [this](const link_pointer& link, wire::message value) {
                look_for_pause();
                if (link->peer()->role == wire::peer_role::agent)
                    peers_->received(link, std::move(value));
                else if (link->peer()->role == wire::peer_role::proxy)
                    proxy_message(link, value);
            },
        .on_close =
            [this](const link_pointer& link, const core::error& reason) {
                link_closed(*link, reason);
                if (!link->peer())
                    return;
                if (link->peer()->role == wire::peer_role::agent)
                    peers_->closed(link, reason);
                else if (link->peer()->role == wire::peer_role::proxy)
                    proxy_closed(link);
            }};
}

void agent::proxy_opened(const std::shared_ptr<wire::link>& link)
{
    log_event(
        log_level::info,
        component,
        "proxy_connected",
        {{"incarnation", link->peer()->incarnation}});
    claims_->proxy_opened(link);
    proxies_.opened(link);
}

void agent::proxy_closed(const std::shared_ptr<wire::link>& link)
{
    proxies_.closed(link);
    claims_->proxy_closed(link);
}

peer_handlers agent::handlers_of_peers()
{
    return {
        .on_open =
            [this](const wire::hello& peer) {
                look_for_pause();
                log_event(
                    log_level::info,
                    component,
                    "peer_connected",
                    {{"peer", peer.host}, {"peer_zone", peer.zone}});
                if (!host_list_known_)
                    members_heard();
                catalogue_->peer_opened(peer.host);
            },
        .on_message =
            [this](const wire::hello& peer, wire::message value) {
                look_for_pause();
                peer_message(peer, std::move(value));
            },
        .on_close =
            [this](const wire::hello& peer, const core::error& reason) {
                log_event(
                    log_level::warning,
                    component,
                    "peer_lost",
                    {{"peer", peer.host}, {"reason", reason.to_string()}});
                catalogue_->peer_closed(peer.host);
            }};
}

void agent::link_closed(const wire::link& link, const core::error& reason)
{
    if (reason.kind() == core::error_kind::protocol)
        gauges_.bad_links.Increment();
    log_event(
        log_level::warning,
        component,
        "link_closed",
        {{"from", link.peer() ? link.peer()->host.value() : "unknown"},
         {"kind", core::to_string(reason.kind())},
         {"reason", reason.to_string()}});
}

void agent::peer_message(const wire::hello& peer, wire::message value)
{
    if (const auto* sign = std::get_if<wire::server_sign>(&value)) {
        spread(*sign, peer.host);
        return;
    }
    if (!catalogue_->received(peer.host, value))
        (void)claims_->received(peer.host, value);
}

void agent::proxy_message(
    const std::shared_ptr<wire::link>& link, const wire::message& value)
{
    if (const auto* sign = std::get_if<wire::server_sign>(&value))
        spread(*sign, settings_.host);
    else if (
        const auto* position = std::get_if<wire::catalogue_position>(&value))
        proxies_.received(link, *position);
    else
        (void)claims_->received(link, value);
}

void agent::spread(wire::server_sign sign, const core::host_name& source)
{
    if (!signs_.is_news(sign, core::monotonic_now()))
        return;
    if (source != settings_.host)
        proxies_.broadcast(sign);
    for (const wire::hello& peer : peers_->peers()) {
        if (peer.host != source)
            peers_->send(peer.host, sign);
    }
}

} // namespace godwit::agent
