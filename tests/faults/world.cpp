#include "world.hpp"

#include "network.hpp"

#include <algorithm>
#include <utility>

namespace godwit::faults {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t server_count = 3;
constexpr std::uint64_t token_count = 5;
constexpr int try_limit = 4;
constexpr auto patience = seconds(4);
constexpr auto bound = seconds(200);
// Longer than the longest pause of a process; and than a late answer.
constexpr auto after_a_pause = seconds(16);
constexpr auto after_late_answers = seconds(13);
constexpr auto after_others = seconds(6);
constexpr auto list_lag = seconds(3);

bool is_streamed(workload work)
{
    return work == workload::streamed || work == workload::ledger_generation;
}

const core::service_name service("s");

moment moment_of(request::step at)
{
    switch (at) {
    case request::step::queued:
        return moment::queued;
    case request::step::connecting:
        return moment::connecting;
    case request::step::sent:
        return moment::sent;
    case request::step::first_token:
        return moment::first_token;
    case request::step::mid_stream:
        return moment::mid_stream;
    case request::step::last_token:
        return moment::last_token;
    case request::step::finishing:
        return moment::finishing;
    case request::step::resuming:
        return moment::resuming;
    default:
        return moment::accepted;
    }
}

} // namespace

world::world(cell what) : cell_(std::move(what))
{
    seen.answer_length = is_service(cell_.work) ? 1 : token_count;
    seen.repeatable = cell_.work == workload::streamed ||
                      cell_.work == workload::whole ||
                      cell_.work == workload::call;
    seen.drain_wait = seconds(25);
    seen.leaving_since.resize(server_count);
    left_at_.resize(server_count);
    for (std::size_t index = 0; index < server_count; ++index)
        servers.emplace_back(clock, seen, index, cell_.seed);
    for (std::size_t index = 0; index < hosts.size(); ++index)
        hosts.at(index) =
            std::make_shared<entry_host>(*this, index, ++incarnations_);
    log.on_effect = [this] {
        reached(moment::claimed);
    };
}

history world::run()
{
    for (const auto& host : hosts)
        host->start();
    // The claimers read the log first, as in a host that is ready.
    clock.after(milliseconds(20), [this] {
        callers_.push_back({"k0", 0, 0, false});
        start_try(0, 0);
        if (cell_.work == workload::doubled_booking)
            start_try(0, 1);
    });
    const auto limit = clock.now() + bound;
    while (clock.now() < limit && !all_done())
        clock.step();
    seen.settled = all_done();
    // What is on its way, paused or late comes now.
    const auto has = [&](fault what) {
        const auto& all = cell_.faults;
        return std::find(all.begin(), all.end(), what) != all.end();
    };
    auto afterwards = after_others;
    if (has(fault::engine_late))
        afterwards = after_late_answers;
    if (has(fault::process_pauses))
        afterwards = after_a_pause;
    const auto end = clock.now() + afterwards;
    while (clock.now() < end)
        clock.step();
    return seen;
}

bool world::all_done() const
{
    return !callers_.empty() &&
           std::all_of(callers_.begin(), callers_.end(), [](const caller& one) {
               return one.done;
           });
}

request::accepted world::request_of(std::size_t who) const
{
    request::accepted made;
    made.organisation = core::organisation_name("o");
    made.service = service;
    made.kind = is_service(cell_.work) ? request::request_kind::service_call
                                       : request::request_kind::generation;
    made.mode = is_streamed(cell_.work) ? request::answer_mode::streamed
                                        : request::answer_mode::whole;
    if (!seen.repeatable)
        made.repeat = request::repeatability::not_repeatable;
    if (is_keyed(cell_.work))
        made.key = core::idempotency_key(callers_.at(who).key);
    if (cell_.seed % 4 == 3)
        made.deadline = clock.now() + seconds(3);
    return made;
}

void world::start_try(
    std::size_t who, std::size_t host, std::optional<std::size_t> continues)
{
    const auto usable = [&](std::size_t index) {
        return hosts.at(index) && hosts.at(index)->accepting();
    };
    if (!usable(host))
        host = 1 - host;
    if (!usable(host)) {
        clock.after(
            milliseconds(500), [=, this] { start_try(who, host, continues); });
        return;
    }
    auto& mine = callers_.at(who);
    ++mine.tries;
    ++mine.open;
    const auto number = seen.tries.size();
    caller_try begun;
    begun.id = "t" + std::to_string(number);
    begun.key = is_keyed(cell_.work) ? mine.key : "";
    begun.host = host;
    begun.begun = clock.now();
    auto made = request_of(who);
    begun.deadline = made.deadline;
    if (continues) {
        const auto& earlier = seen.tries.at(*continues);
        begun.continues = earlier.continues.value_or(earlier.id);
        begun.received = earlier.received;
        made.resume = next_.at(*continues);
    }
    seen.tries.push_back(std::move(begun));
    seen.refused_at.emplace_back();
    caller_of_.push_back(who);
    next_.emplace_back();
    // By the seed, callers lose patience: they come to the other host while
    // the first one may be paused in the middle of the run.
    if (cell_.seed % 2 == 1)
        clock.after(patience, [this, number] { leave(number); });
    if (number == 0)
        reached(moment::accepted);
    if (hosts.at(host))
        hosts.at(host)->accept(number, made);
    else
        end_try(number, [](caller_try& lost) {
            lost.end = ending::connection_lost;
        });
}

// The caller closes its connection and tries again elsewhere.
void world::leave(std::size_t number)
{
    const auto& one = seen.tries.at(number);
    if (one.end != ending::open)
        return;
    end_try(
        number, [](caller_try& left) { left.end = ending::left_by_caller; });
    if (const auto host = hosts.at(one.host))
        host->post(hop, [host, number] { host->caller_left(number); });
}

void world::give_tokens(
    std::size_t number,
    std::vector<token> content,
    request::resume_position next)
{
    clock.after(hop, [=, this] {
        auto& one = seen.tries.at(number);
        if (one.end != ending::open)
            return;
        one.received.insert(one.received.end(), content.begin(), content.end());
        next_.at(number) = next;
    });
}

void world::end_try(std::size_t number, std::function<void(caller_try&)> how)
{
    clock.after(hop, [=, this] {
        auto& one = seen.tries.at(number);
        if (one.end != ending::open)
            return;
        how(one);
        one.ended = clock.now();
        react(number);
    });
}

// What a sensible caller does next.
void world::react(std::size_t number)
{
    const auto who = caller_of_.at(number);
    auto& mine = callers_.at(who);
    const auto& one = seen.tries.at(number);
    --mine.open;
    const bool cut_off = one.end == ending::connection_lost ||
                         one.end == ending::left_by_caller ||
                         (one.end == ending::failed &&
                          one.reason == request::fail_reason::drain_limit);
    const bool can_continue = cut_off && is_streamed(cell_.work) &&
                              !one.received.empty() &&
                              !next_.at(number).generation.empty();
    const bool can_repeat =
        seen.repeatable || is_keyed(cell_.work) ||
        (one.end == ending::failed && one.result == core::outcome::not_run);
    const bool again = one.end != ending::completed &&
                       (can_continue || can_repeat) && mine.tries < try_limit;
    if (!again) {
        mine.done = mine.open == 0;
        return;
    }
    clock.after(milliseconds(300), [=, this, host = 1 - one.host] {
        start_try(
            who, host, can_continue ? std::optional(number) : std::nullopt);
    });
}

void world::reached(std::size_t number, request::step at)
{
    if (number != 0 || at == request::step::claimed ||
        at == request::step::accepted || at == request::step::finished)
        return;
    const auto now = moment_of(at);
    reached(now);
    const auto drains_at =
        is_service(cell_.work) ? moment::sent : moment::mid_stream;
    if (cell_.when == moment::draining && now == drains_at &&
        !seen.drain_began) {
        seen.drain_began = clock.now();
        clock.after(core::duration(0), [this, host = hosts[0]] {
            host->drain(seen.drain_wait);
        });
        clock.after(milliseconds(2), [this] { reached(moment::draining); });
    }
    if (cell_.when == moment::resuming && now == moment::mid_stream &&
        !std::exchange(cut_for_resuming_, true))
        hosts[0]->break_links(false);
}

void world::reached(moment at)
{
    if (at != cell_.when || seen.fault_injected || seen.tries.empty())
        return;
    seen.fault_injected = true;
    const auto& faults = cell_.faults;
    for (std::size_t index = 0; index < faults.size(); ++index) {
        const bool again = index > 0 && faults[index] == faults[index - 1];
        if (again)
            clock.after(milliseconds(400), [this, what = faults[index]] {
                inject(what);
            });
        else
            inject(faults[index]);
    }
}

void world::inject(fault what)
{
    const auto& host = hosts[0];
    auto& server = servers.at(host ? host->server_of(0) : 0);
    const auto each = [&](auto&& act) {
        // By the seed, one backend server has the fault, or all.
        if (cell_.seed % 4 == 2) {
            for (auto& one : servers)
                act(one);
        } else {
            act(server);
        }
    };
    switch (what) {
    case fault::engine_dies:
        each([](backend& one) { one.die(seconds(5)); });
        return;
    case fault::engine_refuses:
        each([](backend& one) { one.refuse(seconds(3)); });
        return;
    case fault::engine_stalls:
        each([](backend& one) { one.stall(seconds(6)); });
        return;
    case fault::engine_late:
        each([](backend& one) { one.be_late(seconds(2)); });
        return;
    case fault::engine_crossed:
        each([](backend& one) { one.cross_answers(2); });
        return;
    case fault::engine_preempts:
        each([](backend& one) { one.preempt(seconds(4)); });
        return;
    case fault::process_dies:
        kill_host();
        return;
    case fault::process_pauses:
        seen.paused = true;
        if (host)
            host->pause(seconds(1 + 7 * (cell_.seed % 3)));
        return;
    case fault::link_cut:
        cut_until = clock.now() + milliseconds(500);
        if (host)
            host->break_links(cell_.seed % 4 >= 2);
        return;
    case fault::log_down:
        log.be_down(seconds(5));
        return;
    case fault::log_slow:
        log.be_slow(seconds(5));
        return;
    case fault::append_answer_lost:
        log.lose_answers(2);
        return;
    case fault::host_list_stale:
        list_frozen_until_ = clock.now() + seconds(10);
        [[fallthrough]];
    case fault::leaving:
        server.leave();
        left_at_.at(static_cast<std::size_t>(&server - servers.data())) =
            clock.now();
        start_other_callers();
        return;
    case fault::caller_gone:
        leave(0);
        return;
    }
}

// Traffic that a server which leaves would get if it were still eligible.
void world::start_other_callers()
{
    constexpr int other_callers = 14;
    for (int index = 1; index <= other_callers; ++index) {
        const auto who = callers_.size();
        callers_.push_back({"k" + std::to_string(who), 0, 0, false});
        clock.after(milliseconds(400 * index), [this, who] {
            start_try(who, who % 2);
        });
    }
}

void world::kill_host()
{
    if (!hosts[0])
        return;
    const auto dead = std::exchange(hosts[0], nullptr);
    dead->die();
    clock.after(milliseconds(500), [this, gone = dead->incarnation()] {
        const auto& other = hosts[1];
        other->receive([other, gone] {
            other->tell_claimer(claims::proxy_gone{core::incarnation_id(gone)});
        });
    });
    clock.after(seconds(3), [this] {
        if (hosts[0])
            return;
        hosts[0] = std::make_shared<entry_host>(*this, 0, ++incarnations_);
        hosts[0]->start();
        hosts[1]->receive(
            [other = hosts[1]] { other->see(membership::peer_connected{}); });
    });
}

std::vector<membership::listed_server> world::host_list()
{
    const bool frozen = clock.now() < list_frozen_until_;
    if (frozen && cell_.seed % 2 == 1)
        return {};
    std::vector<membership::listed_server> list;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const auto& left = left_at_.at(index);
        const bool shown = left && clock.now() - *left >= list_lag && !frozen;
        if (shown && !seen.leaving_since.at(index))
            seen.leaving_since.at(index) = clock.now();
        list.push_back(
            {address_of(index),
             service,
             core::zone_name(index % 2 == 0 ? "a" : "b"),
             shown ? membership::listed_state::leaving
                   : membership::listed_state::live});
    }
    return list;
}

bool world::cut_off(std::size_t host) const
{
    return host == 0 && clock.now() < cut_until;
}

std::shared_ptr<entry_host> world::host_of(const std::string& incarnation) const
{
    for (const auto& host : hosts) {
        if (host && host->incarnation() == incarnation)
            return host;
    }
    return nullptr;
}

} // namespace godwit::faults
