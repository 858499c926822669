#include "fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::claims;
using std::chrono::milliseconds;

namespace {

const auto default_request =
    request_fingerprint::of("POST", "/v1/services/register-api/sign", "body");

} // namespace

fleet::fleet(fleet_options options)
    : append_time(options.append_time), options_(options),
      random_(options.seed), log_(options.claimer.ledger.retention),
      hosts_(options.hosts)
{
    for (std::size_t host = 0; host < options_.hosts; ++host) {
        start_proxy(host);
        start_agent(host);
    }
    run_for(milliseconds(100));
}

std::string fleet::name(std::size_t host) const
{
    return "host-" + std::to_string(host);
}

std::size_t fleet::index_of(const std::string& host_name) const
{
    return std::stoul(host_name.substr(host_name.find('-') + 1));
}

void fleet::start_proxy(std::size_t host)
{
    auto& self = hosts_[host];
    ++self.proxy_epoch;
    self.holder = {
        core::host_name(name(host)),
        core::incarnation_id("i" + std::to_string(++incarnations_)),
        "127.0.0.1:" + std::to_string(incarnations_)};
    auto kept = kept_answers::create({});
    self.kept.emplace(std::move(kept).value());
}

void fleet::start_agent(std::size_t host)
{
    auto& self = hosts_[host];
    ++self.agent_epoch;
    self.tick_at = {};
    auto settings = options_.claimer;
    settings.host = core::host_name(name(host));
    settings.zone = core::zone_name(std::to_string(host % options_.zones));
    settings.claimer = random_.next();
    self.agent.emplace(*claimer::create(settings, now()));
    std::vector<std::size_t> zone;
    for (std::size_t peer = host % options_.zones; peer < options_.hosts;
         peer += options_.zones)
        zone.push_back(peer);
    set_hosts_seen(host, zone);
}

void fleet::set_hosts_seen(std::size_t host, std::vector<std::size_t> seen)
{
    entry_hosts_changed event{{}, options_.hosts, options_.zones};
    for (const auto peer : seen)
        event.zone_hosts.emplace_back(name(peer));
    tell(host, event, false);
}

// What arrives at a host that stands still waits until it runs again.
void fleet::on_agent(std::size_t host, std::size_t epoch, action what)
{
    auto& self = hosts_[host];
    if (!self.alive || self.agent_epoch != epoch)
        return;
    if (now() < self.paused_until)
        return after(self.paused_until - now(), [=, this] {
            on_agent(host, epoch, what);
        });
    what();
}

void fleet::on_proxy(std::size_t host, std::size_t epoch, action what)
{
    auto& self = hosts_[host];
    if (!self.alive || self.proxy_epoch != epoch)
        return;
    if (now() < self.paused_until)
        return after(self.paused_until - now(), [=, this] {
            on_proxy(host, epoch, what);
        });
    what();
}

void fleet::tell(std::size_t host, claimer_event event, bool reply)
{
    const auto epoch = hosts_[host].agent_epoch;
    after(reply ? options_.hop : core::duration(0), [=, this] {
        on_agent(host, epoch, [=, this] { handle(host, event); });
    });
}

void fleet::handle(std::size_t host, const claimer_event& event)
{
    auto& self = hosts_[host];
    if (before_event)
        before_event(host, self.events);
    ++self.events;
    if (now() < self.paused_until)
        return tell(host, event, false);
    for (const auto& wanted : self.agent->handle(event, now()))
        std::visit([&](const auto& value) { act(host, value); }, wanted);
    schedule_tick(host);
}

void fleet::schedule_tick(std::size_t host)
{
    auto& self = hosts_[host];
    const auto due = self.agent->next_wakeup();
    if (self.tick_at > now() && self.tick_at <= due)
        return;
    self.tick_at = due;
    const auto epoch = self.agent_epoch;
    after(due - now(), [=, this] {
        on_agent(host, epoch, [=, this] {
            if (hosts_[host].tick_at != due)
                return;
            hosts_[host].tick_at = {};
            handle(host, tick{});
        });
    });
}

void fleet::act(std::size_t host, const append_batch& append)
{
    ++appends_;
    const auto reply = [=, this](core::duration delay, claimer_event event) {
        const auto epoch = hosts_[host].agent_epoch;
        after(delay, [=, this] {
            on_agent(host, epoch, [=, this] { handle(host, event); });
        });
    };
    const auto timeout = options_.claimer.append_timeout;
    if (hosts_[host].cut || (lose_appends > 0 && lose_appends-- > 0))
        return reply(timeout, append_lost{append.append});
    if (outage)
        return reply(2 * options_.hop, append_unavailable{append.append});
    if (refuse_appends > 0 && refuse_appends-- > 0)
        return reply(
            2 * options_.hop, append_refused{append.append, milliseconds(50)});
    const bool lost = lose_answers > 0 && lose_answers-- > 0;
    after(append_time, [=, this] {
        const auto offset = log_.append(append.data, now());
        wake_polls();
        if (lost)
            return reply(
                std::max(timeout - append_time, options_.hop),
                append_lost{append.append});
        reply(options_.hop, append_answered{append.append, offset});
    });
}

void fleet::act(std::size_t host, const read_log& read)
{
    const poll waiting{host, hosts_[host].agent_epoch, read};
    if (hosts_[host].cut)
        return; // Neither answer nor failure: the claimer's deadline decides.
    after(options_.hop, [=, this] {
        if (log_.next() > read.from || read.wait == core::duration(0) || outage)
            return answer_poll(waiting);
        polls_.push_back(waiting);
        after(read.wait, [=, this] {
            const auto kept = std::erase_if(polls_, [&](const poll& other) {
                return other.host == host && other.epoch == waiting.epoch &&
                       other.read.read == read.read;
            });
            if (kept > 0)
                answer_poll(waiting);
        });
    });
}

void fleet::answer_poll(const poll& waiting)
{
    if (hosts_[waiting.host].cut ||
        hosts_[waiting.host].agent_epoch != waiting.epoch)
        return;
    if (outage)
        return tell(waiting.host, read_failed{waiting.read.read}, true);
    tell(
        waiting.host,
        records_read{
            waiting.read.read,
            log_.first(now()),
            log_.next(),
            log_.read(waiting.read.from, waiting.read.limit, now())},
        true);
}

void fleet::wake_polls()
{
    const auto waiting = std::move(polls_);
    polls_.clear();
    for (const auto& answered : waiting)
        answer_poll(answered);
}

void fleet::act(std::size_t host, const forward_claims& forward)
{
    const auto peer = index_of(forward.to.value());
    if (peers_cut_ || !hosts_[peer].alive)
        return tell(host, forward_refused{forward.to}, true);
    tell(
        peer,
        claims_forwarded{core::host_name(name(host)), forward.entries},
        true);
}

void fleet::act(std::size_t host, const decline_forwarded& decline)
{
    tell(
        index_of(decline.to.value()),
        forward_refused{core::host_name(name(host))},
        true);
}

void fleet::act(std::size_t, const raise_alarm&) {}

void fleet::act(std::size_t host, const answer_ask& answer)
{
    after(core::duration(100), [=, this] {
        on_proxy(host, hosts_[host].proxy_epoch, [=, this] {
            auto& tried = tries_[answer.ask];
            if (hosts_[host].holder != answer.holder || tried.host_died)
                return;
            CPPUNIT_ASSERT_MESSAGE("answered twice", !tried.answer);
            tried.answer = answer.answer;
            tried.answered_at = now();
            if (const auto* won = std::get_if<claim_won>(&answer.answer))
                win(answer.ask, *won);
        });
    });
}

claim_key fleet::key(std::size_t number) const
{
    return *claim_key::create(
        core::organisation_name("krajevnik"),
        core::idempotency_key("key-" + std::to_string(number)));
}

std::size_t
fleet::submit(std::size_t host, std::size_t number, const std::string& body)
{
    const auto index = tries_.size();
    tries_.push_back({host, number, now(), {}, {}, !hosts_[host].alive});
    const auto request =
        request_fingerprint::of("POST", "/v1/services/register-api/sign", body);
    if (hosts_[host].alive)
        tell(
            host,
            claim_asked{index, key(number), request, hosts_[host].holder},
            false);
    return index;
}

void fleet::win(std::size_t index, const claim_won& won)
{
    const auto host = tries_[index].host;
    const auto number = tries_[index].key;
    after(options_.start_delay, [=, this] {
        on_proxy(host, hosts_[host].proxy_epoch, [=, this] {
            const auto run = core::request_id(std::to_string(index));
            if (proxies_decline || now() >= won.start_before ||
                !hosts_[host].kept->begin(
                    key(number), default_request, won.position, run))
                return release(host, number, won.position);
            runs_[number].push_back({host, won.position});
            after(options_.run_time, [=, this] {
                on_proxy(host, hosts_[host].proxy_epoch, [=, this] {
                    finish(host, number, won.position);
                });
            });
        });
    });
}

void fleet::release(std::size_t host, std::size_t number, claim_position at)
{
    tell(host, release_asked{key(number), at}, false);
}

void fleet::finish(std::size_t host, std::size_t number, claim_position at)
{
    const kept_answer answer{
        200, "text/plain", "done", core::outcome::completed};
    hosts_[host].kept->finish(key(number), answer, now());
    tell(
        host,
        run_finished{
            key(number),
            at,
            default_request,
            hosts_[host].holder,
            answer.outcome,
            answer.digest()},
        false);
}

std::optional<kept_lookup>
fleet::ask_holder(std::size_t index, const std::string& body)
{
    const auto& answer = tries_[index].answer;
    const auto find = [&](const auto& held) -> std::optional<kept_lookup> {
        const auto& host = hosts_[index_of(held.holder.host.value())];
        if (!host.alive || host.holder != held.holder)
            return std::nullopt;
        return host.kept->find(
            key(tries_[index].key),
            request_fingerprint::of(
                "POST", "/v1/services/register-api/sign", body),
            held.position);
    };
    if (answer && std::holds_alternative<claim_held>(*answer))
        return find(std::get<claim_held>(*answer));
    if (answer && std::holds_alternative<claim_finished>(*answer))
        return find(std::get<claim_finished>(*answer));
    return std::nullopt;
}

bool fleet::heal(std::size_t index)
{
    const auto found = ask_holder(index);
    if (!found || !std::holds_alternative<run_not_started>(*found))
        return false;
    const auto& held = std::get<claim_held>(*tries_[index].answer);
    release(
        index_of(held.holder.host.value()), tries_[index].key, held.position);
    return true;
}

void fleet::pause(std::size_t host, core::duration length)
{
    auto& self = hosts_[host];
    self.paused_until = std::max(self.paused_until, now() + length);
    tell(host, resumed_after_pause{length}, false);
}

void fleet::kill(std::size_t host)
{
    hosts_[host].alive = false;
    for (auto& tried : tries_)
        tried.host_died =
            tried.host_died || (tried.host == host && !tried.answer);
    for (std::size_t peer = 0; peer < options_.hosts; ++peer)
        if (peer != host)
            tell(peer, proxy_gone{hosts_[host].holder.incarnation}, true);
}

void fleet::replace(std::size_t host)
{
    hosts_[host].alive = true;
    start_proxy(host);
    start_agent(host);
}

// The proxy goes on; what it had asked gets no answer.
void fleet::restart_agent(std::size_t host)
{
    start_agent(host);
    for (auto& tried : tries_)
        tried.host_died =
            tried.host_died || (tried.host == host && !tried.answer);
}

void fleet::check_promises()
{
    for (const auto& [number, runs] : runs_)
        CPPUNIT_ASSERT_MESSAGE(
            "key " + std::to_string(number) + " ran " +
                std::to_string(runs.size()) + " times",
            runs.size() <= 1);
    for (const auto& tried : tries_) {
        if (!tried.answer)
            continue;
        // A try that was told `unavailable` is `not_run` for its caller.
        if (!std::holds_alternative<claim_unavailable>(*tried.answer))
            continue;
        for (const auto& run : runs_[tried.key]) {
            const bool by_another_try = std::any_of(
                tries_.begin(), tries_.end(), [&](const caller_try& other) {
                    return &other != &tried && other.key == tried.key &&
                           other.host == run.host && other.answer &&
                           std::holds_alternative<claim_won>(*other.answer);
                });
            CPPUNIT_ASSERT_MESSAGE("not_run was not true", by_another_try);
        }
    }
}
