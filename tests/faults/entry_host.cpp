#include "entry_host.hpp"

#include "network.hpp"
#include "world.hpp"

#include <utility>

namespace godwit::faults {

namespace {

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

} // namespace godwit::faults
