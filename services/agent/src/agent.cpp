#include "agent.hpp"

#include "incarnation.hpp"
#include "peer_address.hpp"
#include "state_report.hpp"

#include <godwit/core/wall_clock.hpp>
#include <godwit/telemetry/log.hpp>
#include <godwit/telemetry/state_dump.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace godwit::agent {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using telemetry::log_event;
using telemetry::log_level;

// The followers want it at least this often.
constexpr auto tick_interval = std::chrono::milliseconds(100);

std::string to_string(const tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
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
    catalogue_->tick(
        static_cast<std::uint64_t>(core::wall_clock_now().count()));
    peers_->tick(core::monotonic_now());
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (!code)
            tick();
    });
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
