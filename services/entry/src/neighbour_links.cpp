#include <godwit/entry/neighbour_links.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/http/listen.hpp>
#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <set>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";

// Returns the options that limit the effect of a failing neighbour: messages
// that a frozen neighbour does not read must not take up memory without bound,
// and the reports of a neighbour that failed must not be used for long.
wire::link_options link_options()
{
    wire::link_options options;
    options.send_queue_limit = 2 * wire::default_frame_limit;
    options.hello_timeout = std::chrono::seconds(2);
    options.heartbeat_interval = std::chrono::seconds(1);
    options.idle_timeout = std::chrono::seconds(3);
    return options;
}

std::string new_incarnation()
{
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

} // namespace

core::result<std::unique_ptr<neighbour_links>> neighbour_links::create(
    const asio::any_io_executor& executor,
    const entry_settings& settings,
    neighbour_handlers handlers)
{
    std::unique_ptr<neighbour_links> created(
        new neighbour_links(executor, settings, std::move(handlers)));
    const auto listening = created->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    return created;
}

neighbour_links::neighbour_links(
    const asio::any_io_executor& executor,
    const entry_settings& settings,
    neighbour_handlers handlers)
    : executor_(executor), settings_(settings), handlers_(std::move(handlers)),
      incarnation_(new_incarnation())
{}

neighbour_links::~neighbour_links()
{
    for (const auto& [address, connector] : connectors_)
        connector->stop();
    if (acceptor_)
        acceptor_->stop();
}

core::result<void> neighbour_links::listen()
{
    acceptor_ = GODWIT_TRY(wire::acceptor::create(
        executor_,
        http::to_tcp(settings_.neighbours),
        link_options(),
        [this] { return own_hello(); },
        link_callbacks()));
    return {};
}

wire::hello neighbour_links::own_hello() const
{
    return wire::hello{
        .version = wire::protocol_version,
        .role = wire::peer_role::entry,
        .host = settings_.host,
        .zone = settings_.zone,
        .incarnation = core::incarnation_id(incarnation_),
        .address = settings_.neighbours.to_string(),
        .tunnel_address = tunnel_address_};
}

wire::link_handlers neighbour_links::link_callbacks()
{
    wire::link_handlers handlers;
    handlers.on_open = [this](const auto& link, const wire::hello& peer) {
        log_event(
            log_level::info,
            component,
            "neighbour_linked",
            {{"neighbour", peer.host}, {"zone", peer.zone}});
        for (const wire::message& message : handlers_.initial_messages(peer))
            link->send(message);
    };
    handlers.on_message = [this](const auto& link, wire::message message) {
        handlers_.on_message(link, std::move(message));
    };
    handlers.on_close = [this](const auto& link, const core::error& why) {
        if (!link->peer())
            return;
        log_event(
            log_level::info,
            component,
            "neighbour_lost",
            {{"neighbour", link->peer()->host}, {"cause", why.message()}});
        if (handlers_.on_lost && !link_to(link->peer()->host))
            handlers_.on_lost(link->peer()->host);
    };
    handlers.on_sent =
        [this](
            const wire::link& link, std::string_view kind, std::size_t bytes) {
            const bool is_other_zone =
                link.peer() && link.peer()->zone != settings_.zone;
            traffic_.record(kind, is_other_zone, bytes);
        };
    return handlers;
}

void neighbour_links::log_traffic(core::time_point now)
{
    const auto line = traffic_.take_due(now);
    if (!line)
        return;
    log_event(
        log_level::info,
        component,
        "neighbour_traffic",
        {{"same_zone", line->same_zone}, {"other_zones", line->other_zones}});
}

void neighbour_links::start()
{
    acceptor_->start();
    connect_seeds();
}

void neighbour_links::connect_seeds()
{
    for (const http::endpoint& seed : settings_.seeds) {
        if (seed != settings_.neighbours)
            connect(seed);
    }
}

void neighbour_links::connect(const http::endpoint& address)
{
    if (connectors_.contains(address))
        return;
    auto created = wire::connector::create(
        executor_,
        http::to_tcp(address),
        link_options(),
        [this] { return own_hello(); },
        link_callbacks(),
        core::stable_hash(incarnation_ + address.to_string()));
    if (!created) {
        log_event(
            log_level::error,
            component,
            "connector_refused",
            {{"address", address.to_string()},
             {"cause", created.error().to_string()}});
        return;
    }
    (*created)->start();
    connectors_.emplace(address, *created);
}

void neighbour_links::set_hosts(const std::vector<known_host>& hosts)
{
    const std::vector<host_cell> cells = divide_into_cells(hosts);
    update_cell(cells);
    std::set<http::endpoint> wanted;
    for (const known_host& chosen : select_neighbours(cells, settings_.host))
        wanted.insert(chosen.address);
    for (auto at = connectors_.begin(); at != connectors_.end();) {
        if (wanted.contains(at->first)) {
            ++at;
            continue;
        }
        at->second->stop();
        at = connectors_.erase(at);
    }
    for (const http::endpoint& address : wanted)
        connect(address);
}

// Until this host is listed itself, it treats all hosts as its cell.
void neighbour_links::update_cell(const std::vector<host_cell>& cells)
{
    std::set<core::host_name> former_peers = std::exchange(cell_peers_, {});
    if (cell_.empty()) {
        for (const auto& link : links())
            former_peers.insert(link->peer()->host);
    }
    cell_ = placement::host_group();
    cell_count_ = cells.size();
    for (const host_cell& each : cells) {
        std::set<core::host_name> names;
        for (const known_host& member : each.members)
            names.insert(member.name);
        if (names.erase(settings_.host) == 0)
            continue;
        cell_ = each.name;
        cell_peers_ = std::move(names);
    }
    update_settling(former_peers);
}

void neighbour_links::update_settling(
    const std::set<core::host_name>& former_peers)
{
    const core::time_point now = core::monotonic_now();
    std::erase_if(settling_until_, [now](const auto& each) {
        return each.second <= now;
    });
    std::vector<core::host_name> changed;
    std::set_symmetric_difference(
        former_peers.begin(),
        former_peers.end(),
        cell_peers_.begin(),
        cell_peers_.end(),
        std::back_inserter(changed));
    for (const core::host_name& host : changed)
        settling_until_[host] = now + settling_time;
}

bool neighbour_links::is_settling(const core::host_name& host) const
{
    const auto found = settling_until_.find(host);
    return found != settling_until_.end() &&
           core::monotonic_now() < found->second;
}

bool neighbour_links::is_cell_peer(const core::host_name& host) const
{
    return cell_.empty() || cell_peers_.contains(host);
}

// Returns a copy of the open links: a link whose peer does not read closes when
// it is written to, and leaves the set.
std::vector<std::shared_ptr<wire::link>> neighbour_links::links() const
{
    std::vector<std::shared_ptr<wire::link>> open;
    for (const auto& link : acceptor_->links()) {
        if (link->is_open())
            open.push_back(link);
    }
    for (const auto& [address, connector] : connectors_) {
        if (auto link = connector->current())
            open.push_back(std::move(link));
    }
    return open;
}

std::vector<placement::tunnel_proxy> neighbour_links::tunnel_proxies() const
{
    std::vector<placement::tunnel_proxy> proxies;
    for (const auto& link : links()) {
        const wire::hello& peer = *link->peer();
        auto address = http::endpoint::parse(peer.tunnel_address);
        if (address)
            proxies.push_back({peer.host, peer.zone, std::move(*address)});
    }
    return proxies;
}

std::size_t neighbour_links::linked_cell_peers() const
{
    std::set<core::host_name> linked;
    for (const auto& link : links()) {
        if (is_cell_peer(link->peer()->host))
            linked.insert(link->peer()->host);
    }
    return linked.size();
}

bool neighbour_links::is_in_audience(
    const wire::link& link, audience recipients) const
{
    const bool is_in_cell = is_cell_peer(link.peer()->host);
    const bool is_in_zone = link.peer()->zone == settings_.zone;
    switch (recipients) {
    case audience::all:
        return true;
    case audience::cell:
        return is_in_cell;
    case audience::served_hosts:
        return is_in_cell || is_settling(link.peer()->host);
    case audience::settling_hosts:
        return is_settling(link.peer()->host);
    case audience::other_cells:
        return !is_in_cell;
    case audience::zone_cells:
        return !is_in_cell && is_in_zone;
    case audience::other_zones:
        return !is_in_cell && !is_in_zone;
    }
    return false;
}

std::size_t
neighbour_links::broadcast(const wire::message& message, audience recipients)
{
    std::optional<core::result<std::string>> encoded;
    std::size_t recipients_reached = 0;
    for (const auto& link : links()) {
        if (!is_in_audience(*link, recipients))
            continue;
        link->send(message, encoded);
        ++recipients_reached;
    }
    return encoded && *encoded ? recipients_reached * (*encoded)->size() : 0;
}

std::shared_ptr<wire::link>
neighbour_links::link_to(const core::host_name& host) const
{
    for (const auto& link : links()) {
        if (link->peer()->host == host)
            return link;
    }
    return nullptr;
}

} // namespace godwit::entry
