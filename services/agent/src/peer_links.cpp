#include "peer_links.hpp"

#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace godwit::agent {

peer_links::peer_links(
    boost::asio::any_io_executor executor,
    const wire::link_options& options,
    wire::connector::hello_source self,
    peer_handlers handlers,
    std::uint64_t seed)
    : executor_(std::move(executor)), options_(options), self_(std::move(self)),
      handlers_(std::move(handlers)), random_(seed)
{}

void peer_links::set_neighbours(const std::vector<peer_address>& wanted)
{
    std::set<endpoint> endpoints;
    for (const peer_address& peer : wanted)
        endpoints.insert(peer.endpoint);
    std::vector<std::shared_ptr<wire::connector>> unwanted;
    for (auto each = neighbours_.begin(); each != neighbours_.end();) {
        if (endpoints.contains(each->first)) {
            ++each;
            continue;
        }
        unwanted.push_back(each->second);
        each = neighbours_.erase(each);
    }
    for (const auto& connector : unwanted)
        disconnect(
            *connector,
            core::error(
                core::error_kind::unavailable,
                "the peer is no neighbour any more",
                "none is needed"));
    for (const endpoint& wanted_endpoint : endpoints) {
        if (neighbours_.contains(wanted_endpoint))
            continue;
        if (const auto made = connect(wanted_endpoint)) {
            neighbours_.emplace(wanted_endpoint, made);
            made->start();
        }
    }
}

std::shared_ptr<wire::connector> peer_links::connect(const endpoint& to)
{
    wire::link_handlers handlers{
        .on_open = [this](const auto& link, const auto&) { opened(link); },
        .on_message =
            [this](const auto& link, wire::message value) {
                received(link, std::move(value));
            },
        .on_close =
            [this](const auto& link, const core::error& reason) {
                closed(link, reason);
            }};
    auto made = wire::connector::create(
        executor_, to, options_, self_, std::move(handlers), random_.next());
    if (made)
        return *made;
    telemetry::log_event(
        telemetry::log_level::error,
        "peers",
        "cannot_connect",
        {{"reason", made.error().to_string()}});
    return nullptr;
}

bool peer_links::is_own(const wire::link& link) const
{
    return link.peer()->host == self_().host;
}

void peer_links::opened(const std::shared_ptr<wire::link>& link)
{
    // The host list may still name this host under an address that it had.
    if (is_own(*link))
        return;
    auto& links = open_[link->peer()->host];
    links.push_back(link);
    if (links.size() == 1 && handlers_.on_open)
        handlers_.on_open(*link->peer());
}

void peer_links::received(
    const std::shared_ptr<wire::link>& link, wire::message value)
{
    if (!is_own(*link) && handlers_.on_message)
        handlers_.on_message(*link->peer(), std::move(value));
}

void peer_links::closed(
    const std::shared_ptr<wire::link>& link, const core::error& reason)
{
    if (!link->peer())
        return;
    const auto peer = open_.find(link->peer()->host);
    if (peer == open_.end() || std::erase(peer->second, link) == 0)
        return;
    if (!peer->second.empty())
        return;
    open_.erase(peer);
    if (handlers_.on_close)
        handlers_.on_close(*link->peer(), reason);
}

bool peer_links::send(const core::host_name& host, const wire::message& value)
{
    const auto peer = open_.find(host);
    if (peer == open_.end())
        return false;
    // The newest: an older one may be to a process that was replaced.
    const std::shared_ptr<wire::link> link = peer->second.back();
    link->send(value);
    return link->is_open();
}

void peer_links::reach(const peer_address& peer, core::time_point now)
{
    const auto known = extra_.find(peer.endpoint);
    if (known != extra_.end()) {
        known->second.used = now;
        return;
    }
    if (open_.contains(peer.host))
        return;
    if (extra_.size() >= extra_link_limit)
        drop_least_recent_extra();
    if (const auto made = connect(peer.endpoint)) {
        extra_.emplace(peer.endpoint, extra_link{made, now});
        made->start();
    }
}

void peer_links::drop_least_recent_extra()
{
    const auto oldest = std::ranges::min_element(
        extra_, {}, [](const auto& each) { return each.second.used; });
    const auto connector = oldest->second.connector;
    extra_.erase(oldest);
    disconnect(
        *connector,
        core::error(
            core::error_kind::exhausted,
            "the link was not used lately",
            "none is needed; it is opened again when a duty needs it"));
}

// A link that is ended on this side is not reported by its connector.
void peer_links::disconnect(
    wire::connector& connector, const core::error& reason)
{
    const auto link = connector.current();
    connector.stop();
    if (link)
        closed(link, reason);
}

void peer_links::tick(core::time_point now)
{
    const auto is_old = [now](const auto& each) {
        return now - each.second.used > extra_link_time;
    };
    while (std::ranges::any_of(extra_, is_old))
        drop_least_recent_extra();
}

std::vector<wire::hello> peer_links::peers() const
{
    std::vector<wire::hello> found;
    for (const auto& [host, links] : open_)
        found.push_back(*links.back()->peer());
    return found;
}

std::vector<std::shared_ptr<wire::link>> peer_links::links() const
{
    std::vector<std::shared_ptr<wire::link>> found;
    for (const auto& [host, links] : open_)
        found.insert(found.end(), links.begin(), links.end());
    return found;
}

void peer_links::stop()
{
    handlers_ = {};
    for (const auto& [address, connector] : std::exchange(neighbours_, {}))
        connector->stop();
    for (const auto& [address, extra] : std::exchange(extra_, {}))
        extra.connector->stop();
    open_.clear();
}

} // namespace godwit::agent
