// The backend servers as an entry host knows them: its membership, a dispatch
// that is the smallest thing that grants, and its connections.

#include "entry_host.hpp"

#include "network.hpp"
#include "sighting_of.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace godwit::faults {

namespace {

using std::chrono::milliseconds;

constexpr auto queue_time = milliseconds(10);
constexpr auto list_interval = milliseconds(1000);
constexpr auto tick_interval = milliseconds(500);

} // namespace

void entry_host::run(const session_pointer&, const request::report_server& what)
{
    see(membership::server_observed{
        what.server, proxy::sighting_of(what.seen)});
}

void entry_host::see(const membership::event& what)
{
    const auto todo = pool_.handle(what, world_->clock.now());
    for (const auto& action : todo) {
        if (const auto* pass =
                std::get_if<membership::forward_notice>(&action)) {
            if (const auto& other = world_->hosts.at(1 - index_))
                other->post(hop, [other, sign = *pass] {
                    other->see(
                        membership::notice_received{sign.server, sign.kind});
                });
        }
        if (const auto* probe =
                std::get_if<membership::probe_server>(&action)) {
            const auto& there = world_->servers.at(index_of(probe->server));
            auto found = membership::health_observation::probe_passed;
            if (!there.alive() || world_->cut_off(index_))
                found = membership::health_observation::probe_failed;
            else if (there.leaving())
                found = membership::health_observation::leaving;
            post(hop, [this, found, server = probe->server] {
                see(membership::server_observed{server, found});
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

} // namespace godwit::faults
