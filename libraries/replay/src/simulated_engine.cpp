#include <godwit/replay/simulated_engine.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace godwit::replay {

simulated_engine
simulated_engine::create(const engine_config& config, core::time_point now)
{
    return {config, now};
}

bool simulated_engine::has_capacity(std::uint64_t tokens) const
{
    return runs_.size() < config_.slots &&
           used_tokens() + tokens <= config_.memory_tokens;
}

void simulated_engine::start(
    std::size_t generation,
    const generation_request& request,
    core::time_point now)
{
    if (runs_.empty())
        step_start_ = now;
    runs_.push_back(
        run{generation,
            request.prompt_tokens,
            request.output_tokens,
            request.prompt_tokens,
            0});
}

std::uint64_t simulated_engine::used_tokens() const
{
    return std::accumulate(
        runs_.begin(),
        runs_.end(),
        std::uint64_t{0},
        [](std::uint64_t sum, const run& each) { return sum + each.memory(); });
}

simulated_engine::run* simulated_engine::next_to_prefill()
{
    const auto found =
        std::find_if(runs_.begin(), runs_.end(), [](const run& each) {
            return each.unread_tokens > 0;
        });
    return found == runs_.end() ? nullptr : &*found;
}

core::duration simulated_engine::step_duration()
{
    double milliseconds =
        config_.step_ms +
        config_.step_ms_per_run * static_cast<double>(runs_.size());
    if (const run* prefilling = next_to_prefill())
        milliseconds +=
            std::min(prefilling->unread_tokens, config_.prefill_chunk_tokens) /
            config_.prefill_tokens_per_ms;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(slowness_ * milliseconds));
}

void simulated_engine::prefill_chunk()
{
    if (run* prefilling = next_to_prefill())
        prefilling->unread_tokens -=
            std::min(prefilling->unread_tokens, config_.prefill_chunk_tokens);
}

void simulated_engine::decode_tokens(std::vector<engine_event>& events)
{
    for (run& each : runs_) {
        if (each.unread_tokens > 0)
            continue;
        ++each.written_tokens;
        const std::uint32_t first =
            std::min(config_.tokens_per_event, each.output_tokens);
        if (each.written_tokens == first)
            events.push_back(
                {each.generation,
                 engine_event::kind::first_event,
                 step_start_});
        else if (each.written_tokens % config_.tokens_per_event == 0)
            events.push_back(
                {each.generation,
                 engine_event::kind::later_event,
                 step_start_});
        if (each.written_tokens >= each.output_tokens)
            events.push_back(
                {each.generation, engine_event::kind::ended, step_start_});
    }
    std::erase_if(runs_, [](const run& each) {
        return each.written_tokens >= each.output_tokens;
    });
}

// Preempts the newest runs until the others fit into memory. The preempted runs
// are prefilled again when there is enough memory.
void simulated_engine::preempt_for_memory(std::vector<engine_event>& events)
{
    while (runs_.size() > 1 && used_tokens() > config_.memory_tokens) {
        run newest = runs_.back();
        runs_.pop_back();
        newest.unread_tokens = static_cast<std::uint32_t>(newest.memory());
        preempted_.push_back(newest);
        events.push_back(
            {newest.generation, engine_event::kind::preempted, step_start_});
    }
}

void simulated_engine::resume_preempted()
{
    while (!preempted_.empty() && has_capacity(preempted_.front().memory())) {
        runs_.push_back(preempted_.front());
        preempted_.erase(preempted_.begin());
    }
}

std::vector<engine_event> simulated_engine::advance(core::time_point now)
{
    std::vector<engine_event> events;
    while (!runs_.empty()) {
        const core::time_point step_end = step_start_ + step_duration();
        if (step_end > now)
            return events;
        step_start_ = step_end;
        // A prompt whose last chunk is prefilled in this step decodes from the
        // next step on.
        decode_tokens(events);
        prefill_chunk();
        preempt_for_memory(events);
        resume_preempted();
    }
    return events;
}

} // namespace godwit::replay
