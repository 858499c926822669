#include <godwit/fakes/engine_model.hpp>

#include <godwit/fakes/generation_text.hpp>

#include <algorithm>
#include <utility>

namespace godwit::fakes {

namespace {

// A step of a batch of 16 takes 1.45 times as long as one of a single
// generation.
constexpr double slowdown_per_neighbour = 0.03;

// Reading a prompt again after a preemption costs as much as the first time.
constexpr std::uint64_t prefill_tokens_per_second = 10'000;

constexpr std::size_t load_samples_kept = 4096;

constexpr core::duration one_second = std::chrono::seconds(1);

} // namespace

std::uint64_t engine_model::generation::memory() const
{
    return prompt_tokens(order.prompt) + view.produced;
}

engine_model::engine_model(const engine_settings& settings)
    : settings_(settings), orders_(
                               settings.service,
                               settings.checks_fencing ? fencing_rule::checked
                                                       : fencing_rule::ignored),
      cache_(settings.cached_prefixes, settings.seed)
{}

engine_model engine_model::create(const engine_settings& settings)
{
    return engine_model(settings);
}

start_verdict
engine_model::start(const generation_order& order, core::time_point now)
{
    advance(now);
    if (known_.contains(order.id))
        return start_verdict::known;
    if (is_leaving_)
        return start_verdict::leaving;
    if (!orders_.models().contains(order.model))
        return start_verdict::wrong_model;
    if (waiting_.size() >= settings_.waiting_limit ||
        prompt_tokens(order.prompt) >= settings_.memory_tokens)
        return start_verdict::full;

    auto started = std::make_shared<generation>();
    started->order = order;
    started->view.prompt = order.prompt;
    started->view.length = generation_length(order.prompt, order.max_tokens);
    started->view.finish_reason = finish_reason(order.prompt, order.max_tokens);
    started->arrival = arrivals_++;
    known_.emplace(order.id, started);
    waiting_.push_back(std::move(started));
    if (!next_step_) {
        admit_waiting(now);
        next_step_ = now + step_time();
    }
    note_load(now);
    return start_verdict::started;
}

bool engine_model::cancel(const core::generation_id& id, core::time_point now)
{
    advance(now);
    const auto found = known_.find(id);
    if (found == known_.end())
        return false;
    const generation_pointer cancelled = found->second;
    std::erase(running_, cancelled);
    std::erase(waiting_, cancelled);
    std::erase(finished_, id);
    known_.erase(found);
    note_load(now);
    return true;
}

void engine_model::advance(core::time_point now)
{
    while (next_step_ && *next_step_ <= now) {
        const core::time_point moment = *next_step_;
        step(moment);
        if (running_.empty() && waiting_.empty())
            next_step_.reset();
        else
            next_step_ = moment + step_time();
    }
}

void engine_model::step(core::time_point now)
{
    produce_tokens(now);
    preempt_for_memory();
    admit_waiting(now);
    note_load(now);
}

void engine_model::produce_tokens(core::time_point now)
{
    std::vector<generation_pointer> finished;
    for (const generation_pointer& one : running_) {
        if (one->ready > now)
            continue;
        ++one->view.produced;
        if (one->view.is_finished())
            finished.push_back(one);
    }
    for (const generation_pointer& one : finished)
        retire(one);
}

void engine_model::retire(const generation_pointer& finished)
{
    std::erase(running_, finished);
    finished_.push_back(finished->order.id);
    if (finished_.size() > settings_.finished_kept) {
        known_.erase(finished_.front());
        finished_.pop_front();
    }
}

void engine_model::preempt_for_memory()
{
    if (std::exchange(preempts_next_, false)) {
        // The switch waits for a generation that it can push off.
        if (running_.empty())
            preempts_next_ = true;
        else
            preempt_one();
    }
    // A generation that is alone may exceed the memory: pushing it off
    // would never let it end.
    while (running_.size() > 1 && memory_used() > settings_.memory_tokens)
        preempt_one();
}

void engine_model::preempt_one()
{
    const auto victim = std::min_element(
        running_.begin(),
        running_.end(),
        [](const generation_pointer& left, const generation_pointer& right) {
            if (left->order.priority != right->order.priority)
                return left->order.priority < right->order.priority;
            return left->arrival > right->arrival;
        });
    const generation_pointer pushed_off = *victim;
    running_.erase(victim);
    ++pushed_off->view.preemptions;
    ++preemptions_;
    waiting_.push_back(pushed_off);
}

void engine_model::admit_waiting(core::time_point now)
{
    std::sort(
        waiting_.begin(),
        waiting_.end(),
        [](const generation_pointer& left, const generation_pointer& right) {
            if (left->order.priority != right->order.priority)
                return left->order.priority > right->order.priority;
            return left->arrival < right->arrival;
        });
    // The first that does not fit holds back those behind it, so that long
    // prompts are not starved.
    while (!waiting_.empty() && running_.size() < settings_.batch) {
        const generation_pointer next = waiting_.front();
        const bool fits =
            memory_used() + next->memory() + 1 <= settings_.memory_tokens;
        if (!fits && !running_.empty())
            break;
        waiting_.erase(waiting_.begin());
        next->ready = now + prefill_time(*next);
        running_.push_back(next);
    }
}

std::optional<generation_view>
engine_model::find(const core::generation_id& id) const
{
    const auto found = known_.find(id);
    if (found == known_.end())
        return std::nullopt;
    return found->second->view;
}

engine_load engine_model::current_load() const
{
    return {running_.size(), waiting_.size(), memory_used(), preemptions_};
}

engine_load engine_model::reported_load(core::time_point now) const
{
    const core::time_point moment = now - settings_.load_lag;
    engine_load reported;
    for (const load_sample& sample : samples_) {
        if (sample.at > moment)
            break;
        reported = sample.load;
    }
    return reported;
}

void engine_model::note_load(core::time_point now)
{
    const engine_load load = current_load();
    if (!samples_.empty() && samples_.back().load == load)
        return;
    samples_.push_back(load_sample{now, load});
    // One sample at or before the reported moment is needed.
    const core::time_point oldest = now - settings_.load_lag;
    while (samples_.size() > 1 &&
           (samples_[1].at <= oldest || samples_.size() > load_samples_kept))
        samples_.pop_front();
}

std::uint64_t engine_model::memory_used() const
{
    std::uint64_t used = 0;
    for (const generation_pointer& one : running_)
        used += one->memory();
    return used;
}

core::duration engine_model::step_time() const
{
    const auto neighbours =
        static_cast<double>(std::max<std::size_t>(running_.size(), 1) - 1);
    const double factor = 1.0 + slowdown_per_neighbour * neighbours;
    const auto alone = one_second / settings_.tokens_per_second;
    return core::duration(static_cast<core::duration::rep>(
        static_cast<double>(alone.count()) * factor));
}

core::duration engine_model::prefill_time(const generation& admitted)
{
    std::uint64_t tokens = admitted.memory();
    if (cache_.use(admitted.order.prompt))
        tokens -= prompt_tokens(std::string_view(admitted.order.prompt)
                                    .substr(0, prefix_cache::prefix_bytes));
    return one_second * tokens / prefill_tokens_per_second;
}

} // namespace godwit::fakes
