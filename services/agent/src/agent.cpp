#include "agent.hpp"

#include "incarnation.hpp"
#include "state_report.hpp"

#include <godwit/catalogue/neighbours.hpp>
#include <godwit/telemetry/log.hpp>
#include <godwit/telemetry/state_dump.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace godwit::agent {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using telemetry::log_event;
using telemetry::log_level;

constexpr const char* component = "agent";

// The followers want it at least this often.
constexpr auto tick_interval = std::chrono::milliseconds(100);

core::result<tcp::endpoint> to_endpoint(const settings::address& address)
{
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address.ip(), code);
    if (code)
        return core::fail(
            core::error_kind::invalid_input,
            address.to_string() + " is no IP address and port",
            "write it as IP:port");
    return tcp::endpoint(ip, address.port());
}

std::string to_string(const tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

core::result<peer_address> address_of(const platform::host_entry& host)
{
    const auto address = GODWIT_TRY(settings::address::parse(host.peer));
    const auto endpoint = GODWIT_TRY(to_endpoint(address));
    return peer_address{host.name, endpoint};
}

std::uint64_t wall_time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

core::result<std::unique_ptr<agent>>
agent::create(asio::io_context& context, agent_settings settings)
{
    std::unique_ptr<agent> made(new agent(context, std::move(settings)));
    GODWIT_TRY(made->prepare());
    return made;
}

agent::agent(asio::io_context& context, agent_settings settings)
    : context_(context), settings_(std::move(settings)),
      metrics_(telemetry::metrics::create()),
      gauges_(agent_gauges::create(*metrics_)),
      pause_watch_(settings_.pause_limit, core::monotonic_now()),
      timer_(context), proxies_(settings_.host)
{
    auto [id, seed] = incarnation::draw(settings_.host);
    incarnation_ = std::move(id);
    seed_ = seed;
}

agent::~agent()
{
    stop();
}

core::result<void> agent::prepare()
{
    const auto platform =
        GODWIT_TRY(http::endpoint::parse(settings_.platform.to_string()));
    GODWIT_TRY(prepare_log(platform));
    GODWIT_TRY(prepare_links());
    GODWIT_TRY(prepare_duties());
    return prepare_operators();
}

core::result<void> agent::prepare_log(const http::endpoint& platform)
{
    const auto executor = context_.get_executor();
    log_ = GODWIT_TRY(
        platform::log_client::create(executor, platform, settings_.log.client));
    auto options = settings_.host_list;
    options.seed = seed_;
    hosts_ = platform::host_list_client::create(
        executor,
        platform,
        options,
        [this](const core::result<platform::host_list>& list) {
            host_list_heard(list);
        });
    return {};
}

core::result<void> agent::prepare_links()
{
    const auto executor = context_.get_executor();
    const auto self = [this] {
        return introduce();
    };
    const auto address = GODWIT_TRY(to_endpoint(settings_.frames_address));
    acceptor_ = GODWIT_TRY(wire::acceptor::create(
        executor, address, settings_.links, self, accepted_handlers()));
    peers_ = std::make_unique<peer_links>(
        executor, settings_.links, self, handlers_of_peers(), seed_);
    return {};
}

core::result<void> agent::prepare_duties()
{
    catalogue_ = GODWIT_TRY(catalogue_duty::create(
        context_.get_executor(),
        settings_.catalogue,
        settings_.log,
        *log_,
        *peers_,
        proxies_,
        {.on_published =
             [this] {
                 orders_->take_catalogue(*follower().content());
                 if (on_published_)
                     on_published_();
             },
         .on_ready =
             [this] {
                 if (on_ready_)
                     on_ready_();
             }}));
    auto settings = settings_.claims;
    settings.claimer.claimer = seed_;
    claims_ = GODWIT_TRY(claims_duty::create(
        context_.get_executor(),
        settings,
        *log_,
        *peers_,
        [this](const core::host_name& host) { return find_peer(host); }));
    auto orders = settings_.orders;
    orders.reconciler.incarnation = incarnation_;
    orders_ =
        GODWIT_TRY(orders_duty::create(context_.get_executor(), orders, *log_));
    return {};
}

core::result<void> agent::prepare_operators()
{
    auto address = GODWIT_TRY(
        http::endpoint::parse(settings_.operators_address.to_string()));
    operators_ = GODWIT_TRY(operators_interface::create(
        context_,
        std::move(address),
        {.is_ready = [this] { return follower().ready(); },
         .metrics = [this] { return metrics_text(); },
         .state =
             [this] {
                 return state();
             }}));
    return {};
}

void agent::start(std::function<void()> on_ready)
{
    on_ready_ = std::move(on_ready);
    log_event(
        log_level::info,
        component,
        "started",
        {{"incarnation", incarnation_},
         {"frames", to_string(frames_address())},
         {"operators", operators_address().to_string()}});
    acceptor_->start();
    hosts_->start();
    claims_->start();
    connect_neighbours();
    tick();
}

void agent::stop()
{
    if (std::exchange(stopped_, true))
        return;
    timer_.cancel();
    if (catalogue_)
        catalogue_->stop();
    if (claims_)
        claims_->stop();
    if (orders_)
        orders_->stop();
    if (hosts_)
        hosts_->stop();
    if (log_)
        log_->stop();
    if (acceptor_)
        acceptor_->stop();
    if (peers_)
        peers_->stop();
    if (operators_)
        operators_->close();
}

const http::endpoint& agent::operators_address() const noexcept
{
    return operators_->address();
}

const tcp::endpoint& agent::frames_address() const noexcept
{
    return acceptor_->endpoint();
}

wire::hello agent::introduce() const
{
    return {
        .role = wire::peer_role::agent,
        .host = settings_.host,
        .zone = settings_.zone,
        .incarnation = incarnation_,
        .address = acceptor_ ? to_string(acceptor_->endpoint()) : ""};
}

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

// A duty must hear of a pause before it hears of anything that waited
// meanwhile, because a lease may have passed to another host.
void agent::look_for_pause()
{
    // Engine orders watch for pauses by themselves, at each of their events.
    orders_->tick();
    const auto length = pause_watch_.observe(core::monotonic_now());
    if (!length)
        return;
    gauges_.pauses.Increment();
    log_event(
        log_level::warning,
        component,
        "paused",
        {{"pause_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(*length)
              .count()}});
    // The claims first: theirs may have passed to somebody else.
    claims_->handle(claims::resumed_after_pause{*length});
    catalogue_->handle(catalogue::resumed{});
}

void agent::tick()
{
    if (stopped_)
        return;
    look_for_pause();
    catalogue_->tick(wall_time_ms());
    peers_->tick(core::monotonic_now());
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (!code)
            tick();
    });
}

void agent::host_list_heard(const core::result<platform::host_list>& list)
{
    look_for_pause();
    if (!list) {
        log_event(
            log_level::warning,
            component,
            "host_list_unavailable",
            {{"reason", list.error().to_string()}});
        return;
    }
    proxies_.update_servers(*list);
    orders_->take_hosts(*list);
    platform::host_list entries;
    std::ranges::copy_if(
        *list, std::back_inserter(entries), [](const auto& host) {
            return host.kind == platform::host_kind::entry &&
                   !host.peer.empty();
        });
    if (host_list_known_ && entries == entry_hosts_)
        return;
    // An empty list is a fault of the list rather than the end of the fleet.
    if (entries.empty() && !entry_hosts_.empty())
        return;
    host_list_known_ = true;
    entry_hosts_ = std::move(entries);
    members_heard();
}

void agent::members_heard()
{
    std::vector<catalogue::member> members{{settings_.host, settings_.zone}};
    if (host_list_known_) {
        for (const platform::host_entry& host : entry_hosts_) {
            if (host.name != settings_.host)
                members.push_back({host.name, host.zone});
        }
    } else {
        for (const wire::hello& peer : peers_->peers())
            members.push_back({peer.host, peer.zone});
    }
    log_->set_hosts(members.size());
    catalogue_->handle(catalogue::members_changed{std::move(members)});
    connect_neighbours();
    tell_claims_of_members();
}

void agent::tell_claims_of_members()
{
    claims::entry_hosts_changed hosts;
    std::set<core::zone_name> zones{settings_.zone};
    hosts.zone_hosts.push_back(settings_.host);
    for (const platform::host_entry& host : entry_hosts_) {
        if (host.name == settings_.host)
            continue;
        ++hosts.all_hosts;
        zones.insert(host.zone);
        // A host that leaves takes on nothing new.
        if (host.zone == settings_.zone &&
            host.state == platform::host_state::live)
            hosts.zone_hosts.push_back(host.name);
    }
    hosts.zones = zones.size();
    claims_->handle(hosts);
}

std::optional<peer_address> agent::find_peer(const core::host_name& host) const
{
    const auto found =
        std::ranges::find(entry_hosts_, host, &platform::host_entry::name);
    if (found == entry_hosts_.end())
        return std::nullopt;
    const auto address = address_of(*found);
    if (!address)
        return std::nullopt;
    return *address;
}

void agent::connect_neighbours()
{
    std::vector<peer_address> wanted;
    if (!host_list_known_ || entry_hosts_.empty()) {
        for (const settings::address& peer : settings_.peers) {
            if (const auto endpoint = to_endpoint(peer))
                wanted.push_back({core::host_name(), *endpoint});
        }
        peers_->set_neighbours(wanted);
        return;
    }
    const auto neighbours = follower().status(core::monotonic_now()).neighbours;
    for (const platform::host_entry& host : entry_hosts_) {
        if (std::ranges::find(neighbours, host.name) == neighbours.end())
            continue;
        const auto address = address_of(host);
        if (address)
            wanted.push_back(*address);
        else
            log_event(
                log_level::warning,
                component,
                "bad_peer_address",
                {{"peer", host.name}, {"reason", address.error().to_string()}});
    }
    peers_->set_neighbours(wanted);
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

std::string agent::metrics_text()
{
    const auto status = follower().status(core::monotonic_now());
    using seconds = std::chrono::duration<double>;
    const auto& counters = log_->counters();
    gauges_.ready.Set(status.ready ? 1 : 0);
    gauges_.next_offset.Set(static_cast<double>(status.next_offset));
    gauges_.in_force.Set(static_cast<double>(proxies_.in_force().value_or(0)));
    gauges_.age_seconds.Set(status.age ? seconds(*status.age).count() : -1);
    gauges_.alarms.Set(static_cast<double>(status.alarms.size()));
    gauges_.log_available.Set(status.log_available ? 1 : 0);
    gauges_.peers.Set(static_cast<double>(peers_->peers().size()));
    gauges_.proxies.Set(static_cast<double>(proxies_.proxies().size()));
    gauges_.appends.Set(static_cast<double>(counters.appends));
    gauges_.appends_refused.Set(static_cast<double>(counters.appends_refused));
    gauges_.appends_unknown.Set(static_cast<double>(counters.appends_unknown));
    gauges_.reads_failed.Set(static_cast<double>(counters.reads_failed));
    const auto& counts = claims_->claimer().counts();
    gauges_.claims_ready.Set(claims_->claimer().ready() ? 1 : 0);
    gauges_.claims_remembered.Set(
        static_cast<double>(claims_->claimer().claims().size()));
    gauges_.claims_asked.Set(static_cast<double>(counts.asked));
    gauges_.claims_won.Set(static_cast<double>(counts.won));
    gauges_.claims_unavailable.Set(static_cast<double>(counts.unavailable));
    return metrics_->serialise();
}

std::string agent::state() const
{
    telemetry::state_dump dump(
        "godwit-agent",
        GODWIT_VERSION,
        settings_.host,
        settings_.zone,
        incarnation_);
    dump.add(
        "catalogue",
        describe(
            follower().status(core::monotonic_now()), proxies_.in_force()));
    dump.add("feed", describe(proxies_));
    dump.add("peers", describe(*peers_));
    dump.add("claims", describe(claims_->claimer()));
    dump.add("log", describe(log_->counters()));
    return dump.to_string();
}

} // namespace godwit::agent
