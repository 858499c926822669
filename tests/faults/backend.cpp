#include "backend.hpp"

#include "network.hpp"

#include <algorithm>
#include <utility>

namespace godwit::faults {

namespace {

using std::chrono::milliseconds;

constexpr auto token_time = milliseconds(20);
constexpr auto call_time = milliseconds(5);
constexpr auto late_time = milliseconds(12'000);
constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;
const std::string other = "other-1";

} // namespace

// What is on its way arrives even on a connection that was closed since: a
// late answer must be harmless.
void backend::send(
    const link_pointer& to,
    request::event what,
    std::vector<token> content,
    core::duration extra)
{
    if (to->silent)
        return;
    const auto stall =
        std::max(core::duration(0), stalled_until_ - clock_->now());
    clock_->after(
        hop + extra + stall,
        [to, what = std::move(what), content = std::move(content)] {
            if (!to->silent)
                to->deliver(what, content);
        });
}

void backend::connect(const link_pointer& to)
{
    const bool refuses_connections =
        seed_ % 2 == 1 && clock_->now() < refusing_until_;
    if (!alive_ || refuses_connections) {
        to->open = false;
        send(to, request::connect_failed{to->number, true});
        return;
    }
    links_.push_back(to);
    send(to, request::connected{to->number});
}

bool backend::declines(const link_pointer& to)
{
    if (!alive_ || !to->open || to->silent)
        return true;
    seen_->given.push_back({index_, clock_->now()});
    const bool refuses = clock_->now() < refusing_until_;
    if (!refuses && !leaving_)
        return false;
    auto& first_sign = seen_->leaving_since.at(index_);
    if (leaving_ && !first_sign)
        first_sign = clock_->now();
    to->answer_open = false;
    send(
        to,
        request::answer_head{
            to->number,
            unavailable,
            "",
            leaving_ ? request::start_state::leaving
                     : request::start_state::not_started});
    return true;
}

void backend::note_run(const std::string& try_id, const std::string& key)
{
    seen_->runs.push_back({try_id, key, clock_->now()});
}

void backend::start_generation(
    const link_pointer& to,
    const std::string& id,
    const std::string& try_id,
    const std::string& key)
{
    if (declines(to))
        return;
    note_run(try_id, key);
    generations_[id].reader = to;
    send_head(to, id);
    clock_->after(token_time, [this, id] { produce(id); });
}

void backend::send_head(const link_pointer& to, const std::string& echo)
{
    const bool crossed = to_cross_ > 0 && to_cross_-- > 0;
    const auto extra = clock_->now() < late_until_ ? core::duration(late_time)
                                                   : core::duration(0);
    send(
        to,
        request::answer_head{
            to->number,
            ok,
            crossed ? other : echo,
            request::start_state::not_said},
        {},
        extra);
}

void backend::produce(const std::string& id)
{
    const auto found = generations_.find(id);
    if (found == generations_.end())
        return;
    auto& one = found->second;
    if (clock_->now() < one.paused_until) {
        clock_->after(
            one.paused_until - clock_->now(), [this, id] { produce(id); });
        return;
    }
    ++one.produced;
    push(id);
    if (one.produced < seen_->answer_length)
        clock_->after(token_time, [this, id] { produce(id); });
}

void backend::push(const std::string& id)
{
    auto& one = generations_.at(id);
    if (!one.reader || !one.reader->open || one.sent >= one.produced)
        return;
    const bool crossed = to_cross_ > 0 && to_cross_-- > 0;
    const std::string& origin = crossed ? other : id;
    std::vector<token> content;
    for (auto offset = one.sent; offset < one.produced; ++offset)
        content.push_back({origin, offset});
    const bool last = one.produced == seen_->answer_length;
    send(
        one.reader,
        request::tokens_arrived{
            one.reader->number,
            core::generation_id(origin),
            one.sent,
            content.size(),
            last ? request::token_finish::last : request::token_finish::more},
        content);
    one.sent = one.produced;
    if (!last)
        return;
    const auto reader = one.reader;
    clock_->after(call_time, [this, reader] {
        reader->answer_open = false;
        send(reader, request::answer_complete{reader->number});
    });
}

// By the seed, a resumed stream begins two tokens early, or one too late.
void backend::resume(
    const link_pointer& to, const std::string& id, std::uint64_t from)
{
    if (!alive_ || !to->open || to->silent)
        return;
    const auto found = generations_.find(id);
    if (found == generations_.end()) {
        to->answer_open = false;
        send(to, request::answer_head{to->number, not_found, "", {}});
        return;
    }
    auto& one = found->second;
    if (one.reader && one.reader->open && one.reader != to) {
        one.reader->open = false;
        send(one.reader, request::link_broken{one.reader->number});
    }
    one.reader = to;
    one.sent = from;
    if (seed_ % 3 == 1)
        one.sent = from - std::min<std::uint64_t>(from, 2);
    if (seed_ % 3 == 2 && one.produced > from + 1)
        one.sent = from + 1;
    seed_ -= seed_ % 3 == 2 ? 2 : 0;
    send_head(to, id);
    if (one.sent == seen_->answer_length) {
        to->answer_open = false;
        send(to, request::answer_complete{to->number});
    }
    push(id);
}

void backend::call_service(
    const link_pointer& to, const std::string& try_id, const std::string& key)
{
    if (declines(to))
        return;
    const int life = lives_;
    clock_->after(call_time, [this, to, try_id, key, life] {
        if (!alive_ || life != lives_)
            return;
        note_run(try_id, key);
        const bool crossed = to_cross_ > 0;
        send_head(to, try_id);
        const auto late = clock_->now() < late_until_
                              ? core::duration(late_time)
                              : core::duration(0);
        clock_->after(hop + late, [this, to, try_id, crossed] {
            to->answer_open = false;
            send(
                to,
                request::answer_complete{to->number},
                {{crossed ? other : try_id + "-0", 0}});
        });
    });
}

void backend::die(core::duration restart_after)
{
    alive_ = false;
    ++lives_;
    generations_.clear();
    for (const auto& weak : std::exchange(links_, {})) {
        const auto one = weak.lock();
        if (!one || !one->open)
            continue;
        send(one, request::link_broken{one->number});
        one->open = false;
    }
    clock_->after(restart_after, [this] { alive_ = true; });
}

void backend::refuse(core::duration span)
{
    refusing_until_ = clock_->now() + span;
}

void backend::preempt(core::duration span)
{
    for (auto& [id, one] : generations_) {
        one.paused_until = clock_->now() + span;
        if (one.reader && one.reader->open) {
            send(
                one.reader,
                request::preempted{
                    one.reader->number, core::generation_id(id), 1});
        }
    }
}

} // namespace godwit::faults
