// An entry host's claims: its claimer, and the runs that tries under one key
// share.

#include "entry_host.hpp"

#include "network.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace godwit::faults {

namespace {

using std::chrono::milliseconds;

constexpr auto attach_poll = milliseconds(50);

const claims::request_fingerprint fingerprint =
    claims::request_fingerprint::of("POST", "/", "body");

claims::claim_key claim_key_of(const session& one)
{
    return claims::claim_key::create(one.request.organisation, *one.request.key)
        .value();
}

} // namespace

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

} // namespace godwit::faults
