#include "control_plane.hpp"

#include "catalogue_policy.hpp"
#include "poll_subset.hpp"
#include "request_session.hpp"
#include "scheduler_dump.hpp"
#include "sighting_of.hpp"

#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

// Dispatch wants to hear of time and tokens several times within the span
// in which a caller notices a wait.
constexpr std::chrono::milliseconds beat_interval{20};
constexpr std::chrono::milliseconds membership_interval{100};
constexpr std::chrono::seconds explore_interval{1};
constexpr std::chrono::seconds longest_ready_wait{2};
constexpr std::string_view component = "control";

membership::pool_settings pool_settings(const proxy_settings& from)
{
    membership::pool_settings settings;
    settings.host = from.host;
    settings.zone = from.zone;
    settings.subset_limit = from.backend.subset;
    return settings;
}

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

core::result<std::unique_ptr<control_plane>> control_plane::create(
    asio::io_context& control,
    asio::io_context& traffic,
    const proxy_settings& settings,
    std::uint64_t seed,
    outputs to)
{
    auto dispatch_settings = settings.dispatch;
    dispatch_settings.seed = seed;
    auto scheduler = GODWIT_TRY(dispatch::scheduler::create(dispatch_settings));
    auto pool =
        GODWIT_TRY(membership::pool::create(pool_settings(settings), seed));
    return std::unique_ptr<control_plane>(new control_plane(
        control,
        traffic,
        settings,
        seed,
        std::move(to),
        std::move(scheduler),
        std::move(pool)));
}

control_plane::control_plane(
    asio::io_context& control,
    asio::io_context& traffic,
    const proxy_settings& settings,
    std::uint64_t seed,
    outputs to,
    dispatch::scheduler scheduler,
    membership::pool pool)
    : control_(control), settings_(settings), to_(std::move(to)),
      scheduler_(std::move(scheduler)), pool_(std::move(pool)),
      poller_(
          traffic,
          control.get_executor(),
          settings.backend,
          seed,
          [this](const auto& server, const auto& answer) {
              on_load(server, answer);
          }),
      timer_(control), random_(seed)
{}

void control_plane::start()
{
    asio::post(control_, [this] { wait_for_beat(); });
    if (!settings_.fixed.servers.empty())
        take_servers({});
}

void control_plane::stop()
{
    asio::post(control_, [this] {
        stopped_ = true;
        timer_.cancel();
    });
}

void control_plane::wait_for_beat()
{
    if (stopped_)
        return;
    timer_.expires_after(beat_interval);
    timer_.async_wait([this](const boost::system::error_code& failure) {
        if (failure)
            return;
        beat(core::monotonic_now());
        wait_for_beat();
    });
}

void control_plane::beat(core::time_point now)
{
    auto counts = to_.ledger.take();
    if (!counts.empty())
        run(dispatch::tokens_arrived{std::move(counts)});
    if (!waiting_.empty())
        run(dispatch::tick{});
    if (now >= membership_due_) {
        membership_due_ = now + membership_interval;
        run(membership::clock_ticked{});
        if (to_.on_time)
            to_.on_time(now);
    }
    explore(now);
    poller_.tick(now);
    tell_if_ready(now);
}

// Engines are eligible once they have said what they hold. Before they had
// the time to, requests would be refused without need.
void control_plane::tell_if_ready(core::time_point now)
{
    if (!ready_at_)
        return;
    const bool servers_known = !listed_.empty() && poller_.has_heard_of_all();
    if (!servers_known && now < *ready_at_)
        return;
    ready_at_.reset();
    if (to_.on_ready)
        to_.on_ready();
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

void control_plane::run(const dispatch::event& what)
{
    for (const auto& action : scheduler_.handle(what, core::monotonic_now()))
        std::visit([this](const auto& one) { on(one); }, action);
}

void control_plane::run(const membership::event& what)
{
    for (const auto& action : pool_.handle(what, core::monotonic_now()))
        std::visit([this](const auto& one) { on(one); }, action);
}

void control_plane::ask(
    dispatch::request_arrived arrival, dispatch_listener listener)
{
    asio::post(
        control_,
        [this,
         arrival = std::move(arrival),
         listener = std::move(listener)]() mutable {
            waiting_.emplace(arrival.id, std::move(listener));
            allow_last_servers(arrival);
            run(std::move(arrival));
        });
}

// A retry prefers the servers that did not fail it. Where every one did, as
// with a service of one server, another try there is better than none.
void control_plane::allow_last_servers(dispatch::request_arrived& arrival) const
{
    if (arrival.excluded.empty())
        return;
    const auto snapshot = pool_.snapshot();
    const auto& pool = snapshot->pool_of(arrival.service);
    const auto is_other = [&arrival](const auto& server) {
        return std::find(
                   arrival.excluded.begin(),
                   arrival.excluded.end(),
                   server.address) == arrival.excluded.end();
    };
    const bool has_other =
        std::any_of(pool.own_zone.begin(), pool.own_zone.end(), is_other) ||
        std::any_of(pool.other_zones.begin(), pool.other_zones.end(), is_other);
    if (!has_other)
        arrival.excluded.clear();
}

void control_plane::leave(core::request_id id)
{
    asio::post(control_, [this, id = std::move(id)] {
        // A grant that was on its way meanwhile is given back as a start
        // that did not happen; dispatch ignores what does not fit.
        if (waiting_.erase(id) > 0)
            run(dispatch::request_left{id});
        else
            run(dispatch::start_failed{id});
    });
}

void control_plane::tell(dispatch::event what)
{
    asio::post(control_, [this, what = std::move(what)] { run(what); });
}

void control_plane::report(
    core::server_address server, request::observation seen)
{
    asio::post(control_, [this, server = std::move(server), seen] {
        run(membership::server_seen{server, sighting_of(seen)});
    });
}

void control_plane::take_catalogue(catalogue::state_pointer next)
{
    asio::post(control_, [this, next = std::move(next)]() mutable {
        put_into_force(std::move(next));
        if (to_.on_catalogue)
            to_.on_catalogue();
    });
}

wire::catalogue_position control_plane::position() const
{
    if (!catalogue_ || catalogue_is_static_)
        return {};
    return {catalogue_->next_offset(), catalogue_->hash()};
}

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

void control_plane::take_sign(membership::sign_received sign)
{
    asio::post(control_, [this, sign = std::move(sign)] { run(sign); });
}

void control_plane::describe(std::function<void(boost::json::object)> listener)
{
    asio::post(control_, [this, listener = std::move(listener)] {
        listener(state());
    });
}

void control_plane::answer(
    const core::request_id& id, const dispatch_answer& answer)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    const auto listener = std::move(found->second);
    waiting_.erase(found);
    listener(answer);
}

void control_plane::on(const dispatch::start_request& what)
{
    answer(what.id, what);
}

void control_plane::on(const dispatch::refuse_request& what)
{
    answer(what.id, what);
}

void control_plane::on(const dispatch::raise_priority&)
{
    // Engines take a priority with the request only.
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

void control_plane::tell_of_policy()
{
    if (catalogue_)
        run(dispatch::policy_changed{
            dispatch_policy(*catalogue_, entry_hosts_)});
}

void control_plane::on(const membership::pass_sign& what)
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
         {"why", what.why}});
}

void control_plane::on(const membership::host_list_doubted& what)
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
        run(membership::server_seen{
            server, membership::sighting::probe_failed});
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

void control_plane::put_into_force(catalogue::state_pointer next)
{
    const bool is_first = catalogue_ == nullptr;
    const bool is_newer = is_first || catalogue_is_static_ ||
                          next->next_offset() > catalogue_->next_offset();
    if (!is_newer) {
        const bool is_same = next->next_offset() == catalogue_->next_offset() &&
                             next->hash() == catalogue_->hash();
        if (!is_same)
            log_event(
                log_level::warning,
                component,
                "catalogue_not_taken",
                {{"offset", next->next_offset()},
                 {"in_force", catalogue_->next_offset()},
                 {"why", "it is not newer than the one in force"}});
        return;
    }
    catalogue_is_static_ = is_first && settings_.fixed.catalogue.has_value();
    if (!is_first)
        tell_of_gone_services(*next);
    catalogue_ = std::move(next);
    to_.snapshots.set({catalogue_, catalogue_->next_offset()});
    tell_of_policy();
    run(membership::requirements_changed{service_requirements(*catalogue_)});
    log_event(
        log_level::info,
        component,
        "catalogue_in_force",
        {{"offset", catalogue_->next_offset()}, {"hash", catalogue_->hash()}});
    if (is_first)
        ready_at_ = core::monotonic_now() + longest_ready_wait;
}

void control_plane::tell_of_gone_services(const catalogue::state& next)
{
    std::set<core::service_name> gone;
    catalogue_->services().for_each([&](const auto&, const auto& service) {
        if (!next.find_service(service.name))
            gone.insert(service.name);
    });
    if (gone.empty())
        return;
    for (const auto& session : to_.registry.all()) {
        if (gone.contains(session->service()))
            session->post(request::service_gone{});
    }
}

boost::json::object control_plane::state() const
{
    boost::json::object state;
    if (catalogue_)
        state["catalogue"] = {
            {"offset", catalogue_->next_offset()},
            {"hash", catalogue_->hash()},
            {"static", catalogue_is_static_},
            {"organisations", catalogue_->organisations().size()},
            {"services", catalogue_->services().size()}};
    else
        state["catalogue"] = nullptr;
    state["entry_hosts"] = entry_hosts_;
    state["waiting"] = waiting_.size();
    state["dispatch"] = scheduler_dump(scheduler_.state(), pool_);
    return state;
}

} // namespace godwit::proxy
