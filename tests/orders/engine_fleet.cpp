#include "engine_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::orders;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::service_name service("gazetteer");
constexpr core::duration hop = milliseconds(1);
constexpr core::duration append_time = milliseconds(10);

} // namespace

engine_fleet::engine_fleet(engine_fleet_options options)
    : options_(options), log_(std::chrono::hours(1)), agents_(options.agents),
      engines_(options.engines)
{
    for (auto& one : engines_)
        one.state = {{"toponym"}, {}, "1", "serve", 0};
    pool_ = {service, options.checks_fencing, {}, {}};
    want("1", "1");
    for (std::size_t index = 0; index < options_.agents; ++index)
        start(index);
}

void engine_fleet::start(std::size_t agent)
{
    auto& self = agents_[agent];
    ++self.epoch;
    self.tick_at = {};
    auto settings = options_.reconciler;
    settings.host = core::host_name("host-" + std::to_string(agent));
    settings.incarnation =
        core::incarnation_id("i" + std::to_string(++incarnations_));
    self.decisions.emplace(
        std::move(reconciler::create(settings, now() - self.behind).value()));
    tell(agent, hop, pools_changed{{pool_}});
    tell(agent, hop, live_engines());
    std::vector<std::size_t> everybody;
    for (std::size_t host = 0; host < options_.agents; ++host)
        everybody.push_back(host);
    see_hosts(agent, everybody);
}

engines_changed engine_fleet::live_engines() const
{
    engines_changed event;
    for (std::size_t index = 0; index < engines_.size(); ++index)
        event.engines.push_back(
            {core::server_address("127.0.0.1:" + std::to_string(7000 + index)),
             service});
    return event;
}

std::size_t
engine_fleet::engine_index(const core::server_address& address) const
{
    return std::stoul(address.value().substr(address.value().find(':') + 1)) -
           7000;
}

void engine_fleet::see_hosts(
    std::size_t agent, const std::vector<std::size_t>& seen)
{
    entry_hosts_changed event;
    for (const auto host : seen)
        event.hosts.emplace_back("host-" + std::to_string(host));
    tell(agent, hop, event);
}

void engine_fleet::want(const std::string& version, const std::string& serving)
{
    const auto replicas = static_cast<std::uint32_t>(engines_.size());
    pool_.serving = {"toponym", "", serving};
    pool_.targets = {{{"toponym", "", version}, "", replicas}};
    for (std::size_t index = 0; index < engines_.size(); ++index)
        look(index);
    for (std::size_t agent = 0; agent < agents_.size(); ++agent)
        if (agents_[agent].decisions)
            tell(agent, hop, pools_changed{{pool_}});
}

std::optional<core::duration> engine_fleet::time_to_reach(core::duration limit)
{
    const auto begun = now();
    while (now() - begun < limit) {
        run_for(milliseconds(10));
        if (serving(pool_.targets.front().choice.version) == engines_.size())
            return now() - begun;
    }
    return std::nullopt;
}

std::optional<std::size_t> engine_fleet::holder() const
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        const auto& self = agents_[index];
        for (const auto& held : self.decisions->held()) {
            // One that stands still holds nothing once it runs again.
            if (now() < self.paused_until ||
                held.valid_until <= now() - self.behind)
                continue;
            CPPUNIT_ASSERT_MESSAGE("two holders", !found);
            found = index;
        }
    }
    return found;
}

std::size_t engine_fleet::serving(const std::string& version) const
{
    std::size_t count = 0;
    for (const auto& one : engines_)
        count += model_choice{"toponym", "", version}.served_by(one.state);
    return count;
}

void engine_fleet::on_agent(std::size_t agent, std::size_t epoch, action what)
{
    const auto& self = agents_[agent];
    if (self.epoch != epoch)
        return;
    if (now() < self.paused_until)
        return after(self.paused_until - now(), [=, this] {
            on_agent(agent, epoch, what);
        });
    what();
}

void engine_fleet::tell(
    std::size_t agent, core::duration delay, reconciler_event event)
{
    const auto epoch = agents_[agent].epoch;
    after(delay, [=, this] {
        on_agent(agent, epoch, [=, this] { handle(agent, event); });
    });
}

void engine_fleet::handle(std::size_t agent, const reconciler_event& event)
{
    auto& self = agents_[agent];
    for (const auto& wanted :
         self.decisions->handle(event, now() - self.behind))
        std::visit([&](const auto& value) { act(agent, value); }, wanted);
    auto due = self.decisions->next_wakeup();
    if (due == core::time_point::max())
        return;
    due += self.behind;
    if ((self.tick_at > now() && self.tick_at <= due))
        return;
    self.tick_at = due;
    const auto epoch = self.epoch;
    after(due - now(), [=, this] {
        on_agent(agent, epoch, [=, this] {
            if (agents_[agent].tick_at != due)
                return;
            agents_[agent].tick_at = {};
            handle(agent, tick{});
        });
    });
}

void engine_fleet::act(std::size_t agent, const append_record& append)
{
    if (outage)
        return tell(agent, hop, append_failed{append.append});
    const bool lost = lose_appends > 0 && lose_appends-- > 0;
    after(append_time, [=, this] {
        const auto offset = log_.append(append.data, now());
        truth_.fold(log_.read(offset, 1, now()).front());
        tell(
            agent,
            answer_delay,
            lost ? reconciler_event(append_failed{append.append})
                 : reconciler_event(append_answered{append.append}));
    });
}

void engine_fleet::act(std::size_t agent, const read_log& read)
{
    if (outage)
        return tell(agent, hop, read_failed{read.read});
    // A log that is looked at every 20 ms does for a log that waits.
    if (read.wait > core::duration(0) && log_.next() <= read.from) {
        auto again = read;
        again.wait -= milliseconds(20);
        const auto epoch = agents_[agent].epoch;
        return after(milliseconds(20), [=, this] {
            if (agents_[agent].epoch == epoch)
                act(agent, again);
        });
    }
    tell(
        agent,
        hop,
        records_read{
            read.read,
            log_.first(now()),
            log_.next(),
            log_.read(read.from, read.limit, now())});
}

void engine_fleet::act(std::size_t agent, const read_engine& read)
{
    const auto index = engine_index(read.engine);
    after(hop, [=, this] {
        tell(
            agent,
            hop,
            engine_read{read.engine, read.request, engines_[index].state});
    });
}

void engine_fleet::act(std::size_t, const raise_alarm&) {}

void engine_fleet::act(std::size_t agent, const send_order& order)
{
    const auto epoch = agents_[agent].epoch;
    const auto checked_at = now() - agents_[agent].behind;
    after(core::duration(50), [=, this] {
        on_agent(agent, epoch, [=, this] {
            const auto clock =
                freeze_after_check ? checked_at : now() - agents_[agent].behind;
            if (clock >= order.send_before)
                return handle(
                    agent, order_not_sent{order.engine, order.request});
            dispatch(agent, order);
        });
    });
}

void engine_fleet::dispatch(std::size_t agent, const send_order& order)
{
    sent.push_back(order.order);
    const auto lost = order_lost{order.engine, order.request};
    if (lose_orders > 0 && lose_orders-- > 0)
        return tell(agent, seconds(1), lost);
    const bool answer_lost = lose_answers > 0 && lose_answers-- > 0;
    const auto epoch = agents_[agent].epoch;
    after(hop, [=, this] {
        const auto index = engine_index(order.engine);
        const bool taken = arrive(index, order.fencing, order.order);
        if (agents_[agent].epoch != epoch)
            return;
        if (answer_lost)
            return tell(agent, seconds(1), lost);
        if (taken)
            return tell(
                agent, hop, order_accepted{order.engine, order.request});
        tell(
            agent,
            hop,
            order_refused{
                order.engine,
                order.request,
                engines_[index].state.highest_fencing});
    });
}

void engine_fleet::stray_order(
    std::size_t engine, std::uint64_t number, const engine_order& order)
{
    arrive(engine, number, order);
}

bool engine_fleet::arrive(
    std::size_t engine, std::uint64_t number, const engine_order& order)
{
    const auto lease = truth_.find(service);
    const bool stale = lease && number < lease->number;
    auto& highest = engines_[engine].state.highest_fencing;
    figures_.stale_sent += stale ? 1 : 0;
    if (options_.checks_fencing && number < highest) {
        figures_.stale_refused += stale ? 1 : 0;
        return false;
    }
    figures_.stale_applied += stale ? 1 : 0;
    highest = std::max(highest, number);
    apply(engine, order);
    return true;
}

void engine_fleet::apply(std::size_t engine, const engine_order& order)
{
    auto& state = engines_[engine].state;
    if (order.kind == order_kind::unload) {
        state.models.erase(order.model);
    } else if (order.kind == order_kind::load) {
        if (model_choice{order.model, order.adapter, order.version}.served_by(
                state))
            return;
        ++figures_.loads;
        // It serves nothing while it loads.
        state.models.erase(order.model);
        state.version = order.version;
        after(options_.load_time, [=, this] {
            if (engines_[engine].state.version != order.version)
                return;
            engines_[engine].state.models.insert(order.model);
            look(engine);
        });
    }
    look(engine);
}

void engine_fleet::look(std::size_t engine)
{
    auto& one = engines_[engine];
    const bool right = pool_.targets.front().choice.served_by(one.state);
    if (!right && !one.wrong_since)
        one.wrong_since = now();
    if (!right || !one.wrong_since)
        return;
    figures_.longest_wrong =
        std::max(figures_.longest_wrong, now() - *one.wrong_since);
    one.wrong_since.reset();
}

void engine_fleet::pause(std::size_t agent, core::duration length)
{
    auto& self = agents_[agent];
    self.paused_until = std::max(self.paused_until, now() + length);
    if (clocks_stop)
        self.behind += length;
    tell(agent, core::duration(0), resumed_after_pause{length});
}

void engine_fleet::restart(std::size_t agent)
{
    agents_[agent].paused_until = {};
    start(agent);
}
