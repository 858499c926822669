#include <godwit/replay/simulated_engine.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace godwit::replay {

simulated_engine
simulated_engine::create(const engine_config& shape, core::time_point now)
{
    return {shape, now};
}

bool simulated_engine::has_room(std::uint64_t tokens) const
{
    return runs_.size() < shape_.slots &&
           used_tokens() + tokens <= shape_.memory_tokens;
}

void simulated_engine::start(
    std::size_t generation,
    const generation_request& order,
    core::time_point now)
{
    if (runs_.empty())
        step_begins_ = now;
    runs_.push_back(
        run{generation,
            order.prompt_tokens,
            order.output_tokens,
            order.prompt_tokens,
            0});
}

std::uint64_t simulated_engine::used_tokens() const
{
    return std::accumulate(
        runs_.begin(),
        runs_.end(),
        std::uint64_t{0},
        [](std::uint64_t sum, const run& one) { return sum + one.memory(); });
}

simulated_engine::run* simulated_engine::next_to_read()
{
    const auto found =
        std::find_if(runs_.begin(), runs_.end(), [](const run& one) {
            return one.unread_tokens > 0;
        });
    return found == runs_.end() ? nullptr : &*found;
}

core::duration simulated_engine::step_span()
{
    double milliseconds =
        shape_.step_ms +
        shape_.step_ms_per_run * static_cast<double>(runs_.size());
    if (const run* reading = next_to_read())
        milliseconds += std::min(reading->unread_tokens, shape_.chunk_tokens) /
                        shape_.prefill_tokens_per_ms;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(slowness_ * milliseconds));
}

void simulated_engine::read_chunk()
{
    if (run* reading = next_to_read())
        reading->unread_tokens -=
            std::min(reading->unread_tokens, shape_.chunk_tokens);
}

void simulated_engine::write_tokens(std::vector<engine_event>& events)
{
    for (run& one : runs_) {
        if (one.unread_tokens > 0)
            continue;
        ++one.written_tokens;
        const std::uint32_t first =
            std::min(shape_.tokens_per_event, one.output_tokens);
        if (one.written_tokens == first)
            events.push_back(
                {one.generation,
                 engine_event::kind::first_event,
                 step_begins_});
        else if (one.written_tokens % shape_.tokens_per_event == 0)
            events.push_back(
                {one.generation,
                 engine_event::kind::later_event,
                 step_begins_});
        if (one.written_tokens >= one.output_tokens)
            events.push_back(
                {one.generation, engine_event::kind::ended, step_begins_});
    }
    std::erase_if(runs_, [](const run& one) {
        return one.written_tokens >= one.output_tokens;
    });
}

// The newest gives way, and is read again when the others leave room.
void simulated_engine::preempt_for_memory(std::vector<engine_event>& events)
{
    while (runs_.size() > 1 && used_tokens() > shape_.memory_tokens) {
        run newest = runs_.back();
        runs_.pop_back();
        newest.unread_tokens = static_cast<std::uint32_t>(newest.memory());
        preempted_.push_back(newest);
        events.push_back(
            {newest.generation, engine_event::kind::preempted, step_begins_});
    }
}

void simulated_engine::take_back_preempted()
{
    while (!preempted_.empty() && has_room(preempted_.front().memory())) {
        runs_.push_back(preempted_.front());
        preempted_.erase(preempted_.begin());
    }
}

std::vector<engine_event> simulated_engine::advance(core::time_point now)
{
    std::vector<engine_event> events;
    while (!runs_.empty()) {
        const core::time_point ends = step_begins_ + step_span();
        if (ends > now)
            return events;
        step_begins_ = ends;
        // A prompt whose last chunk is read in this step writes in the next.
        write_tokens(events);
        read_chunk();
        preempt_for_memory(events);
        take_back_preempted();
    }
    return events;
}

} // namespace godwit::replay
