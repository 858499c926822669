#include "overload_replay.hpp"

#include <godwit/admission/caller_stay.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::admission::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::service_name engines("lm");
constexpr core::duration step = milliseconds(10);
constexpr core::duration check_interval = milliseconds(100);
constexpr core::duration immediate = milliseconds(50);
constexpr core::time_point burst_begin{seconds(5)};
constexpr core::time_point burst_end{seconds(15)};
constexpr core::time_point loss{seconds(10)};
constexpr core::time_point end{seconds(45)};

} // namespace

replay_result& replay_result::operator+=(const replay_result& more)
{
    first_attempts += more.first_attempts;
    in_time += more.in_time;
    late += more.late;
    refusals += more.refusals;
    immediate_refusals += more.immediate_refusals;
    predicted_refusals += more.predicted_refusals;
    told_retries += more.told_retries;
    told_retries_served += more.told_retries_served;
    return *this;
}

std::string replay_result::to_string() const
{
    const auto field = [](const std::string& name, std::size_t value) {
        return name + "=" + std::to_string(value) + " ";
    };
    return field("first", first_attempts) + field("in_time", in_time) +
           field("late", late) + field("refusals", refusals) +
           field("immediate", immediate_refusals) +
           field("predicted", predicted_refusals) +
           field("told", told_retries) +
           field("told_served", told_retries_served);
}

overload_replay::overload_replay(
    replay_settings settings, std::vector<stream_kind> kinds)
    : settings_(settings), kinds_(std::move(kinds)), arrivals_(settings.seed),
      random_(settings.seed), hosts_(settings.hosts)
{}

replay_result overload_replay::run(std::uint64_t capacity)
{
    free_ = capacity;
    std::uint64_t lost = 0;
    for (core::time_point now{}; now < end; now += step) {
        if (now == loss)
            lost = static_cast<std::uint64_t>(
                static_cast<double>(capacity) * (1 - settings_.capacity_left));
        while (!ends_.empty() && ends_.begin()->first <= now) {
            free_ += ends_.begin()->second;
            ends_.erase(ends_.begin());
        }
        const std::uint64_t taken = std::min(lost, free_);
        lost -= taken;
        free_ -= taken;
        const bool is_burst = now >= burst_begin && now < burst_end;
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
            const double expected = kinds_[kind].per_second *
                                    (is_burst ? settings_.load : 1) *
                                    std::chrono::duration<double>(step).count();
            if (arrivals_.unit() < expected)
                arrive(kind, arrivals_.below(hosts_.size()), now);
        }
        while (!retries_.empty() && retries_.begin()->first <= now) {
            auto [at, retried] = std::move(retries_.begin()->second);
            retries_.erase(retries_.begin());
            retried.arrival = now;
            add(at, std::move(retried), now);
        }
        try_heads(now);
        for (std::size_t at = 0; at < hosts_.size(); ++at)
            check_queue(at, now);
        if (now.time_since_epoch() % check_interval == core::duration())
            exchange(now);
    }
    return result_;
}

void overload_replay::arrive(
    std::size_t kind, std::size_t at, core::time_point now)
{
    ++result_.first_attempts;
    stream added{
        .kind = kind,
        .fingerprint = request_fingerprint(std::to_string(++sequence_)),
        .arrival = now,
        .deadline = now + kinds_[kind].deadline,
        .policy = wait_policy::create({}),
        .stage_since = now,
        .next_attempt = now,
        .next_check = now,
        .latest = now,
        .predicted = std::nullopt};
    add(at, std::move(added), now);
}

void overload_replay::add(std::size_t at, stream added, core::time_point now)
{
    const stream_kind& kind = kinds_[added.kind];
    host& here = hosts_[at];
    added.policy = wait_policy::create(
        {now, added.deadline, kind.objective, kind.priority});
    added.stage = wait_stage::timely;
    added.stage_since = added.next_attempt = added.next_check = now;
    added.predicted.reset();
    added.is_checked = false;
    added.latest = added.policy.stage_end(wait_stage::late);
    if (settings_.predicts) {
        added.latest = std::max(
            added.latest,
            latest_start(
                {now,
                 added.deadline,
                 kind.objective,
                 milliseconds(180),
                 generation_size::create(
                     {kind.prompt_tokens,
                      kind.output_tokens,
                      kind.output_tokens},
                     0)}));
        if (here.predictor.retries().claim(added.fingerprint, now))
            added.retry = retry_kind::announced;
        here.predictor.own().record_arrival(
            engines, order_of(added, added.stage), work_of(added), now);
    }
    const bool is_first =
        here.queue.empty() ||
        std::get<0>(here.queue.begin()->first) > kind.priority;
    if (is_first && try_start(here, added, now))
        return;
    const bool is_kept = keeps(here, added, now, false);
    if (!is_kept)
        return;
    if (settings_.predicts)
        here.predictor.own().add_waiting(
            engines, order_of(added, added.stage), work_of(added));
    here.queue.emplace(key_of(added), std::move(added));
}

bool overload_replay::try_start(host& at, stream& waiting, core::time_point now)
{
    const std::uint64_t tokens = work_of(waiting).tokens;
    if (now < waiting.next_attempt)
        return false;
    waiting.next_attempt = waiting.policy.next_attempt(waiting.stage, now);
    if (tokens > free_)
        return false;
    free_ -= tokens;
    // Output lengths vary; exponential ones do so about as those of the
    // deployment.
    const double length = -std::log(1 - random_.unit());
    ends_.emplace(
        now + std::chrono::duration_cast<core::duration>(
                  kinds_[waiting.kind].run * length),
        tokens);
    start(at, waiting, now);
    return true;
}

void overload_replay::start(
    host& at, const stream& started, core::time_point now)
{
    (started.stage == wait_stage::timely ? result_.in_time : result_.late) += 1;
    result_.told_retries_served += started.was_told ? 1 : 0;
    if (!settings_.predicts)
        return;
    at.predictor.own().record_start(
        engines, order_of(started, started.stage), work_of(started), now);
    if (started.predicted)
        at.predictor.record_wait(
            engines, *started.predicted, now - started.arrival);
}

// Returns the hosts with waiting streams in the order of their attempts.
std::vector<std::size_t> overload_replay::order_of_hosts()
{
    std::vector<std::size_t> order;
    const std::size_t first = random_.below(hosts_.size());
    for (std::size_t offset = 0; offset < hosts_.size(); ++offset) {
        const std::size_t index = (first + offset) % hosts_.size();
        if (!hosts_[index].queue.empty())
            order.push_back(index);
    }
    if (settings_.shares_order)
        std::sort(order.begin(), order.end(), [this](auto left, auto right) {
            return hosts_[left].queue.begin()->first <
                   hosts_[right].queue.begin()->first;
        });
    return order;
}

void overload_replay::try_heads(core::time_point now)
{
    bool has_started = true;
    while (has_started) {
        has_started = false;
        for (const std::size_t index : order_of_hosts()) {
            host& at = hosts_[index];
            stream head = at.queue.begin()->second;
            const int order = order_of(head, head.stage);
            const bool is_started = try_start(at, head, now);
            at.queue.begin()->second.next_attempt = head.next_attempt;
            if (!is_started)
                continue;
            at.queue.erase(at.queue.begin());
            if (settings_.predicts)
                at.predictor.own().remove_waiting(
                    engines, order, work_of(head));
            has_started = true;
        }
    }
}

void overload_replay::check_queue(std::size_t at, core::time_point now)
{
    host& here = hosts_[at];
    std::vector<queue_key> keys;
    for (const auto& [key, each] : here.queue)
        keys.push_back(key);
    for (const queue_key& key : keys) {
        stream waiting = here.queue.at(key);
        const int order = order_of(waiting, waiting.stage);
        const bool is_late_now =
            waiting.stage == wait_stage::timely &&
            now >= waiting.policy.stage_end(wait_stage::timely);
        if (is_late_now) {
            waiting.stage = wait_stage::late;
            waiting.stage_since = now;
        }
        const bool is_over = now >= waiting.latest;
        const bool is_kept = !is_over && keeps(here, waiting, now, true);
        if (is_over)
            refuse(at, waiting, waiting.policy.retry_after(now), now);
        here.queue.erase(key);
        if (settings_.predicts)
            here.predictor.own().remove_waiting(
                engines, order, work_of(waiting));
        if (!is_kept)
            continue;
        if (settings_.predicts) {
            if (is_late_now)
                here.predictor.own().record_arrival(
                    engines,
                    order_of(waiting, waiting.stage),
                    work_of(waiting),
                    now);
            here.predictor.own().add_waiting(
                engines, order_of(waiting, waiting.stage), work_of(waiting));
        }
        here.queue.emplace(is_late_now ? key_of(waiting) : key, waiting);
    }
}

bool overload_replay::keeps(
    host& at, stream& waiting, core::time_point now, bool is_waiting)
{
    if (!settings_.predicts || now < waiting.next_check)
        return true;
    waiting.next_check = now + check_interval;
    const bool is_timely = waiting.stage == wait_stage::timely;
    const start_decision decision = at.predictor.decide(
        {engines,
         waiting.policy.rank(wait_stage::timely),
         waiting.policy.rank(wait_stage::late),
         waiting.retry,
         !is_waiting,
         is_waiting ? now - waiting.stage_since : core::duration(),
         is_timely ? waiting.policy.stage_end(wait_stage::timely) - now
                   : core::duration(),
         waiting.latest - now},
        now,
        random_.unit());
    if (!std::exchange(waiting.is_checked, true))
        waiting.predicted = decision.wait;
    if (!decision.retry_after)
        return true;
    ++result_.predicted_refusals;
    const core::time_point due = now + *decision.retry_after;
    const announced_retry retry{
        waiting.fingerprint,
        engines,
        queue_order_of(
            waiting.policy.rank(wait_stage::timely), retry_kind::announced),
        work_of(waiting).tokens,
        due};
    if (at.predictor.retries().announce(retry, now))
        at.unsent.push_back(retry);
    refuse(
        static_cast<std::size_t>(&at - hosts_.data()),
        waiting,
        *decision.retry_after,
        now);
    return false;
}

// Callers honour the told time up to a third of their remaining time, and retry
// once, at another host.
void overload_replay::refuse(
    std::size_t at,
    const stream& refused,
    core::duration retry_after,
    core::time_point now)
{
    ++result_.refusals;
    if (now - refused.arrival <= immediate)
        ++result_.immediate_refusals;
    if (refused.is_retry)
        return;
    stream retried = refused;
    retried.is_retry = true;
    const core::duration honoured = (refused.deadline - now) / 3;
    retried.was_told = retry_after <= honoured;
    result_.told_retries += retried.was_told ? 1 : 0;
    const std::size_t other =
        (at + 1 + random_.below(std::max<std::size_t>(hosts_.size() - 1, 1))) %
        hosts_.size();
    retries_.emplace(
        now + std::min(retry_after, honoured),
        std::pair(other, std::move(retried)));
}

void overload_replay::exchange(core::time_point now)
{
    for (host& from : hosts_) {
        from.predictor.expire(now);
        const host_queues sums = from.predictor.own().sums(now);
        for (host& to : hosts_) {
            if (&to == &from)
                continue;
            to.predictor.neighbours().update(
                core::host_name(std::to_string(&from - hosts_.data())),
                sums,
                now);
            for (const announced_retry& retry : from.unsent)
                to.predictor.retries().announce(retry, now);
        }
        from.unsent.clear();
    }
}

overload_replay::queue_key overload_replay::key_of(const stream& waiting)
{
    return {
        waiting.policy.rank(waiting.stage),
        waiting.retry == retry_kind::announced ? 0 : 1,
        ++sequence_};
}

work_amount overload_replay::work_of(const stream& of) const
{
    const stream_kind& kind = kinds_[of.kind];
    return {1, kind.prompt_tokens + kind.output_tokens / 4};
}

int overload_replay::order_of(const stream& of, wait_stage stage)
{
    return queue_order_of(of.policy.rank(stage), of.retry);
}

} // namespace godwit::admission::test
