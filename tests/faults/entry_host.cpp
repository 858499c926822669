#include "entry_host.hpp"

#include "network.hpp"
#include "sighting_of.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace godwit::faults {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto queue_time = milliseconds(10);
constexpr auto list_interval = milliseconds(1000);
constexpr auto tick_interval = milliseconds(500);
constexpr auto attach_poll = milliseconds(50);

membership::pool_settings pool_settings_of(std::size_t index)
{
    membership::pool_settings settings;
    settings.host = core::host_name("h" + std::to_string(index));
    settings.zone = core::zone_name(index == 0 ? "a" : "b");
    return settings;
}

claims::claimer_settings
claimer_settings_of(std::size_t index, std::uint64_t incarnation)
{
    claims::claimer_settings settings;
    settings.host = core::host_name("h" + std::to_string(index));
    settings.zone = core::zone_name(index == 0 ? "a" : "b");
    settings.claimer = incarnation;
    settings.writer = claims::batch_writer::each_host;
    return settings;
}

const claims::request_fingerprint fingerprint =
    claims::request_fingerprint::of("POST", "/", "body");

claims::claim_key claim_key_of(const session& one)
{
    return claims::claim_key::create(one.request.organisation, *one.request.key)
        .value();
}

} // namespace

entry_host::entry_host(
    world& around, std::size_t index, std::uint64_t incarnation)
    : world_(&around), index_(index), incarnation_(incarnation),
      pool_(membership::pool::create(
                pool_settings_of(index), around.what().seed + incarnation)
                .value()),
      claimer_(claims::claimer::create(
                   claimer_settings_of(index, incarnation), around.clock.now())
                   .value()),
      budget_(request::retry_budget::create({}, around.clock.now()).value()),
      next_server_(around.what().seed),
      refuse_next_(around.what().seed >= first_refusing_seed)
{}

void entry_host::start()
{
    tell_claimer(claims::tick{});
    read_list();
    tick();
}

std::string entry_host::incarnation() const
{
    return "i" + std::to_string(incarnation_);
}

claims::claim_holder entry_host::holder() const
{
    return {
        core::host_name("h" + std::to_string(index_)),
        core::incarnation_id(incarnation()),
        "127.0.0.1:1"};
}

void entry_host::post(core::duration wait, std::function<void()> what)
{
    world_->clock.after(
        wait, [weak = weak_from_this(), what = std::move(what)] {
            if (const auto self = weak.lock())
                self->receive(what);
        });
}

void entry_host::receive(std::function<void()> what)
{
    if (world_->clock.now() < paused_until_ || !inbox_.empty())
        inbox_.push_back(std::move(what));
    else
        what();
}

void entry_host::pause(core::duration span)
{
    paused_until_ = world_->clock.now() + span;
    inbox_.emplace_back(
        [this, span] { tell_claimer(claims::resumed_after_pause{span}); });
    world_->clock.after(span, [weak = weak_from_this()] {
        const auto self = weak.lock();
        while (self && self->world_->clock.now() >= self->paused_until_ &&
               !self->inbox_.empty()) {
            const auto next = std::move(self->inbox_.front());
            next();
            self->inbox_.pop_front();
        }
    });
}

void entry_host::drain(core::duration limit)
{
    draining_ = true;
    for (const auto& [number, one] : std::map(sessions_))
        feed(one, request::drain_began{});
    post(limit, [this] {
        for (const auto& [number, one] : std::map(sessions_))
            feed(one, request::drain_limit{});
    });
}

void entry_host::break_links(bool silently)
{
    for (const auto& [number, one] : sessions_) {
        for (const auto& [connection, to] : one->links) {
            if (!to->open)
                continue;
            to->silent = silently;
            if (!silently) {
                to->open = false;
                post(hop, [this, one = one, connection = connection] {
                    feed(one, request::link_broken{connection});
                });
            }
        }
    }
}

// The engines see the links break; the callers lose their connections.
void entry_host::die()
{
    for (const auto& [number, one] : sessions_) {
        for (const auto& [connection, to] : one->links)
            to->open = false;
        world_->end_try(number, [](caller_try& lost) {
            lost.end = ending::connection_lost;
        });
    }
    for (auto& [key, run] : runs_) {
        for (const auto& waiting : run.waiting)
            waiting(run_end::failed, {});
    }
}

void entry_host::accept(std::size_t number, const request::accepted& what)
{
    const auto& id = world_->seen.tries[number].id;
    const auto one = std::make_shared<session>(session{
        number,
        what,
        request::life::create(
            {}, core::request_id(id), budget_, world_->what().seed + number)
            .value(),
        {},
        {},
        {},
        {}});
    sessions_[number] = one;
    receive([this, one] { feed(one, one->request); });
}

void entry_host::caller_left(std::size_t number)
{
    const auto found = sessions_.find(number);
    if (found != sessions_.end())
        feed(found->second, request::caller_gone{});
}

std::size_t entry_host::server_of(std::size_t number) const
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end())
        return 0;
    const auto server = found->second->life.position().server;
    return server.empty() ? 0 : index_of(server);
}

// A fault at this step can pause or end the process between its decision and
// its action.
void entry_host::feed(
    const session_pointer& one,
    const request::event& what,
    std::vector<token> content)
{
    one->arrived = std::move(content);
    const auto before = one->life.current_step();
    const auto todo = one->life.handle(what, world_->clock.now());
    if (world_->on_decided)
        world_->on_decided(index_, *one, what, todo);
    const auto self = shared_from_this();
    if (one->life.current_step() != before)
        world_->reached(one->number, one->life.current_step());
    if (world_->hosts.at(index_) != self)
        return;
    // The actions belong to the event and do not queue behind later ones.
    if (world_->clock.now() < paused_until_) {
        const auto arrived = one->arrived;
        inbox_.emplace_back([this, one, todo, arrived] {
            one->arrived = arrived;
            execute(one, todo);
        });
        return;
    }
    execute(one, todo);
}

void entry_host::execute(
    const session_pointer& one, const std::vector<request::action>& todo)
{
    for (const auto& action : todo)
        std::visit([&](const auto& what) { run(one, what); }, action);
}

// Claims.

void entry_host::tell_claimer(const claims::claimer_event& what)
{
    const auto todo = claimer_.handle(what, world_->clock.now());
    for (const auto& action : todo) {
        if (const auto* batch = std::get_if<claims::append_batch>(&action)) {
            const auto id = batch->append;
            world_->log.append(
                batch->data,
                [weak = weak_from_this(),
                 id](fake_log::append_result result, std::uint64_t offset) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    claims::claimer_event answer =
                        claims::append_answered{id, offset};
                    if (result == fake_log::append_result::lost)
                        answer = claims::append_lost{id};
                    if (result == fake_log::append_result::unavailable)
                        answer = claims::append_unavailable{id};
                    self->receive(
                        [&host = *self, answer] { host.tell_claimer(answer); });
                });
        }
        if (const auto* read = std::get_if<claims::read_log>(&action)) {
            const auto id = read->read;
            world_->log.read(
                read->from,
                read->wait,
                [weak = weak_from_this(), id](
                    bool good,
                    std::uint64_t next,
                    const std::vector<claims::log_record>& records) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    claims::claimer_event answer = claims::read_failed{id};
                    if (good)
                        answer = claims::records_read{id, 0, next, records};
                    self->receive(
                        [&host = *self, answer] { host.tell_claimer(answer); });
                });
        }
        if (const auto* answer = std::get_if<claims::answer_ask>(&action)) {
            const auto found = sessions_.find(answer->ask);
            if (found != sessions_.end()) {
                post(hop, [this, one = found->second, said = answer->answer] {
                    on_claim_answer(one, said);
                });
            }
        }
    }
    wake_claimer();
}

void entry_host::wake_claimer()
{
    const auto due = claimer_.next_wakeup();
    const auto now = world_->clock.now();
    if (claimer_wakes_ > now && claimer_wakes_ <= due)
        return;
    claimer_wakes_ = std::max(due, now + milliseconds(1));
    post(claimer_wakes_ - now, [this, planned = claimer_wakes_] {
        if (planned == claimer_wakes_)
            tell_claimer(claims::tick{});
    });
}

void entry_host::on_claim_answer(
    const session_pointer& one, const claims::claim_answer& answer)
{
    const auto& key = one->request.key->value();
    const auto state_of = [](bool gone) {
        return gone ? request::holder_state::lost : request::holder_state::live;
    };
    if (const auto* won = std::get_if<claims::claim_won>(&answer)) {
        one->position = won->position;
        feed(one, request::claim_won{won->start_before});
        return;
    }
    end_run(key, run_end::released);
    if (const auto* held = std::get_if<claims::claim_held>(&answer)) {
        feed(
            one,
            request::claim_held{
                core::host_name(held->holder.incarnation.value()),
                state_of(held->holder_gone)});
    } else if (
        const auto* done = std::get_if<claims::claim_finished>(&answer)) {
        const bool gone =
            world_->host_of(done->holder.incarnation.value()) == nullptr;
        feed(
            one,
            request::claim_finished{
                core::host_name(done->holder.incarnation.value()),
                state_of(gone),
                done->outcome});
    } else if (
        const auto* none = std::get_if<claims::claim_unavailable>(&answer)) {
        feed(one, request::claim_unavailable{none->retry_after});
    } else {
        feed(one, request::claim_refused{});
    }
}

// Tries under one key at one host share its claim.
void entry_host::run(const session_pointer& one, const request::ask_claim& what)
{
    const auto [found, first] =
        runs_.try_emplace(what.key.value(), keyed_run{one->number, {}, {}, {}});
    if (!first) {
        post(hop, [this, one] {
            feed(
                one,
                request::claim_held{
                    core::host_name(incarnation()),
                    request::holder_state::live});
        });
        return;
    }
    tell_claimer(claims::claim_asked{
        one->number, claim_key_of(*one), fingerprint, holder()});
}

void entry_host::run(const session_pointer& one, const request::release_claim&)
{
    const auto found = runs_.find(one->request.key->value());
    if (found == runs_.end() || found->second.number != one->number)
        return;
    tell_claimer(claims::release_asked{claim_key_of(*one), one->position});
    end_run(found->first, run_end::released);
}

void entry_host::run(
    const session_pointer& one, const request::settle_claim& what)
{
    if (one->kept.empty())
        one->kept = one->arrived;
    tell_claimer(claims::run_finished{
        claim_key_of(*one),
        one->position,
        fingerprint,
        holder(),
        what.result,
        1});
    const auto mine = runs_.find(one->request.key->value());
    if (mine == runs_.end())
        return;
    mine->second.answer = one->kept;
    end_run(
        one->request.key->value(),
        what.result == core::outcome::completed ? run_end::answered
                                                : run_end::failed);
}

void entry_host::end_run(const std::string& key, run_end end)
{
    const auto found = runs_.find(key);
    if (found == runs_.end())
        return;
    auto& mine = found->second;
    mine.end = end;
    const auto waiting = std::exchange(mine.waiting, {});
    const auto answer = mine.answer;
    if (end == run_end::released)
        runs_.erase(found);
    for (const auto& tell : waiting)
        tell(end, answer);
}

void entry_host::find_run(
    const std::string& key,
    std::function<void(run_end, std::vector<token>)> answer)
{
    const auto found = runs_.find(key);
    if (found == runs_.end())
        return answer(run_end::released, {});
    if (found->second.end)
        return answer(*found->second.end, found->second.answer);
    found->second.waiting.push_back(std::move(answer));
}

void entry_host::run(
    const session_pointer& one, const request::attach_to_holder& what)
{
    const auto reply = [weak = weak_from_this(),
                        one](run_end end, const std::vector<token>& answer) {
        const auto self = weak.lock();
        if (!self)
            return;
        // A released claim is asked for again, but not in a tight circle.
        self->post(
            end == run_end::released ? attach_poll : hop,
            [&host = *self, one, end, answer] {
                one->kept = answer;
                if (end == run_end::answered)
                    host.feed(one, request::holder_answered{});
                else if (end == run_end::released)
                    host.feed(one, request::holder_released{});
                else
                    host.feed(one, request::holder_failed{});
            });
    };
    const auto there = world_->host_of(what.holder.value());
    if (!there)
        return reply(run_end::failed, {});
    there->post(hop, [there, one, reply] {
        there->find_run(one->request.key->value(), reply);
    });
}

// Dispatch, as the smallest thing that grants.

void entry_host::run(
    const session_pointer& one, const request::ask_dispatch& what)
{
    post(queue_time, [this, one, what] {
        const auto snapshot = pool_.snapshot();
        const auto& servers = snapshot->pool_of(one->request.service);
        // A process that began while the list was empty knows of no server.
        if (knows_servers_ && servers.own_zone.empty() &&
            servers.other_zones.empty())
            ++world_->seen.empty_pools;
        std::vector<core::server_address> usable;
        for (const auto* list : {&servers.own_zone, &servers.other_zones}) {
            for (const auto& server : *list) {
                if (std::find(
                        what.excluded.begin(),
                        what.excluded.end(),
                        server.address) == what.excluded.end())
                    usable.push_back(server.address);
            }
        }
        if (usable.empty() || std::exchange(refuse_next_, false)) {
            if (!one->life.finished())
                world_->seen.refused_at.at(one->number) = world_->clock.now();
            feed(
                one,
                request::dispatch_refused{
                    what.ask, request::refusal::crowded, milliseconds(300)});
            return;
        }
        feed(
            one,
            request::granted{
                what.ask, usable[next_server_++ % usable.size()], 0});
    });
}

// Connections.

void entry_host::run(
    const session_pointer& one, const request::connect_to& what)
{
    const auto to = std::make_shared<link>();
    to->number = what.connection;
    to->deliver = [weak = weak_from_this(),
                   weak_one = std::weak_ptr<session>(one)](
                      const request::event& event, std::vector<token> content) {
        const auto still = weak_one.lock();
        if (const auto self = weak.lock(); self && still)
            self->receive([&host = *self, still, event, content] {
                host.feed(still, event, content);
            });
    };
    one->links[what.connection] = to;
    if (world_->cut_off(index_))
        return;
    auto& server = world_->servers.at(index_of(what.server));
    world_->clock.after(hop, [&server, to] { server.connect(to); });
}

void entry_host::run(
    const session_pointer& one, const request::send_request& what)
{
    const auto to = one->links.at(what.connection);
    if (what.not_after && world_->clock.now() >= *what.not_after) {
        feed(one, request::link_broken{what.connection});
        return;
    }
    if (!to->open)
        return;
    feed(one, request::first_byte_handed_over{what.connection});
    feed(one, request::request_sent{what.connection});
    to->answer_open = true;
    const auto server = index_of(one->life.position().server);
    const auto key = one->request.key ? one->request.key->value() : "";
    world_->clock.after(
        hop,
        [around = world_, server, to, key, one, generation = what.generation] {
            auto& there = around->servers.at(server);
            const auto& id = one->life.id().value();
            if (generation.empty())
                there.call_service(to, id, key);
            else
                there.start_generation(to, generation.value(), id, key);
        });
}

void entry_host::run(
    const session_pointer& one, const request::resume_generation& what)
{
    const auto to = one->links.at(what.connection);
    to->answer_open = true;
    auto& server = world_->servers.at(index_of(one->life.position().server));
    world_->clock.after(hop, [&server, to, what] {
        server.resume(to, what.generation.value(), what.from);
    });
}

void entry_host::run(
    const session_pointer&, const request::announce_resumed& what)
{
    const auto& other = world_->hosts.at(1 - index_);
    if (!other)
        return;
    other->post(hop, [other, what] {
        for (const auto& [number, one] : std::map(other->sessions_))
            other->feed(one, request::resumed_elsewhere{what.generation});
    });
}

void entry_host::run(
    const session_pointer&, const request::cancel_generation& what)
{
    auto& server = world_->servers.at(index_of(what.server));
    if (!world_->cut_off(index_)) {
        world_->clock.after(
            hop, [&server, what] { server.cancel(what.generation.value()); });
    }
}

void entry_host::run(
    const session_pointer& one, const request::close_connection& what)
{
    one->links.at(what.connection)->open = false;
}

void entry_host::run(
    const session_pointer& one, const request::keep_connection& what)
{
    const auto& to = one->links.at(what.connection);
    if (to->answer_open)
        ++world_->seen.unclean_reuse;
    to->open = false;
}

// Towards the caller.

std::vector<token> entry_host::content(
    const session_pointer& one, std::uint64_t first, std::uint64_t count) const
{
    std::vector<token> chosen;
    for (const auto& arrived : one->arrived) {
        if (arrived.offset >= first && arrived.offset < first + count)
            chosen.push_back(arrived);
    }
    return chosen;
}

void entry_host::run(
    const session_pointer& one, const request::deliver_tokens& what)
{
    world_->give_tokens(
        one->number,
        content(one, what.first, what.count),
        one->life.position());
}

void entry_host::run(
    const session_pointer& one, const request::keep_tokens& what)
{
    const auto chosen = content(one, what.first, what.count);
    one->kept.insert(one->kept.end(), chosen.begin(), chosen.end());
}

void entry_host::run(const session_pointer& one, const request::discard_kept&)
{
    one->kept.clear();
}

void entry_host::run(const session_pointer& one, const request::deliver_answer&)
{
    if (one->kept.empty())
        one->kept = one->arrived;
    // A stream that attached to its holder gets the answer as a whole.
    world_->give_tokens(one->number, one->kept, {});
    run(one, request::finish_stream{});
}

void entry_host::run(const session_pointer& one, const request::finish_stream&)
{
    post(hop, [this, one] {
        if (one->life.finished())
            return;
        world_->end_try(one->number, [](caller_try& done) {
            done.end = ending::completed;
        });
        feed(one, request::delivered_to_caller{});
    });
}

void entry_host::run(
    const session_pointer& one, const request::fail_request& what)
{
    world_->end_try(one->number, [what](caller_try& failed) {
        failed.end = ending::failed;
        failed.result = what.result;
        failed.reason = what.reason;
        failed.has_retry_after = what.retry_after.has_value();
    });
}

void entry_host::run(const session_pointer& one, const request::set_timer& what)
{
    post(what.at - world_->clock.now(), [this, one, which = what.which] {
        feed(one, request::timer_fired{which});
    });
}

// Membership.

void entry_host::run(const session_pointer&, const request::report_server& what)
{
    see(membership::server_seen{what.server, proxy::sighting_of(what.seen)});
}

void entry_host::see(const membership::event& what)
{
    const auto todo = pool_.handle(what, world_->clock.now());
    for (const auto& action : todo) {
        if (const auto* pass = std::get_if<membership::pass_sign>(&action)) {
            if (const auto& other = world_->hosts.at(1 - index_))
                other->post(hop, [other, sign = *pass] {
                    other->see(
                        membership::sign_received{sign.server, sign.what});
                });
        }
        if (const auto* probe =
                std::get_if<membership::probe_server>(&action)) {
            const auto& there = world_->servers.at(index_of(probe->server));
            auto found = membership::sighting::probe_passed;
            if (!there.alive() || world_->cut_off(index_))
                found = membership::sighting::probe_failed;
            else if (there.leaving())
                found = membership::sighting::leaving;
            post(hop, [this, found, server = probe->server] {
                see(membership::server_seen{server, found});
            });
        }
    }
}

void entry_host::read_list()
{
    const auto list = world_->host_list();
    knows_servers_ = knows_servers_ || !list.empty();
    see(membership::host_list_read{list});
    post(list_interval, [this] { read_list(); });
}

void entry_host::tick()
{
    see(membership::clock_ticked{});
    post(tick_interval, [this] { tick(); });
}

} // namespace godwit::faults
