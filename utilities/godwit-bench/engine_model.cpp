#include "engine_model.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::bench {

namespace {

// The engine keeps this share free when it takes a generation in.
constexpr double watermark = 0.01;

constexpr core::duration slow_gap = std::chrono::milliseconds(64);

} // namespace

engine_model::engine_model(engine_settings settings) : settings_(settings) {}

engine_model::waiting_key
engine_model::waiting_key_of(simulated_request& request)
{
    return {-request.priority, request.join_number, &request};
}

engine_model::running_key
engine_model::running_key_of(simulated_request& request)
{
    return {
        request.priority,
        -static_cast<std::int64_t>(request.join_number),
        &request};
}

engine_model::finish_key
engine_model::finish_key_of(simulated_request& request) const
{
    return {
        request.counted_step + (request.length - request.tokens),
        request.join_number,
        &request};
}

bool engine_model::submit(simulated_request& request)
{
    if (waiting_.size() >= settings_.waiting_limit)
        return false;
    request.join_number = next_join_++;
    request.decoding = false;
    waiting_.insert(waiting_key_of(request));
    return true;
}

std::uint32_t
engine_model::tokens_of(const simulated_request& request) const noexcept
{
    if (!request.decoding)
        return request.tokens;
    return request.tokens +
           static_cast<std::uint32_t>(steps_ - request.counted_step);
}

void engine_model::start_decoding(simulated_request& request)
{
    request.decoding = true;
    request.counted_step = steps_;
    request.slow_steps_before = slow_steps_;
    finishing_.insert(finish_key_of(request));
}

void engine_model::leave_batch(simulated_request& request)
{
    running_.erase(running_key_of(request));
    if (request.decoding) {
        finishing_.erase(finish_key_of(request));
        const auto fresh =
            static_cast<std::uint32_t>(steps_ - request.counted_step);
        request.tokens += fresh;
        request.held_memory += fresh;
        request.slow_gaps +=
            static_cast<std::uint32_t>(slow_steps_ - request.slow_steps_before);
        request.decoding = false;
    } else {
        prefilling_.remove(&request);
    }
    memory_used_ -= request.held_memory;
    request.held_memory = 0;
}

void engine_model::cancel(simulated_request& request)
{
    if (waiting_.erase(waiting_key_of(request)) == 0)
        leave_batch(request);
}

void engine_model::raise_priority(simulated_request& request, int priority)
{
    const bool waited = waiting_.erase(waiting_key_of(request)) > 0;
    const bool ran = running_.erase(running_key_of(request)) > 0;
    request.priority = priority;
    if (waited)
        waiting_.insert(waiting_key_of(request));
    if (ran)
        running_.insert(running_key_of(request));
}

bool engine_model::use_prefix(std::uint32_t prefix, step_outcome& outcome)
{
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool hit = found != prefixes_.end();
    if (hit)
        prefixes_.erase(found);
    else
        outcome.stored_prefixes.push_back(prefix);
    prefixes_.push_back(prefix);
    if (prefixes_.size() > settings_.cached_prefixes) {
        outcome.evicted_prefixes.push_back(prefixes_.front());
        prefixes_.pop_front();
    }
    return hit;
}

void engine_model::join(simulated_request& request, step_outcome& outcome)
{
    const std::uint32_t whole = request.prompt_tokens + request.tokens;
    const bool hit = use_prefix(request.prefix, outcome);
    request.prefill_left =
        std::max<std::uint32_t>(1, whole - (hit ? request.prefix_tokens : 0));
    request.held_memory = whole;
    memory_used_ += whole;
    running_.insert(running_key_of(request));
    prefilling_.push_back(&request);
}

void engine_model::take_in(step_outcome& outcome)
{
    const auto room = static_cast<std::uint64_t>(
        static_cast<double>(settings_.memory_tokens) * (1.0 - watermark));
    while (!waiting_.empty() && running_.size() < settings_.batch_limit) {
        simulated_request& next = *std::get<2>(*waiting_.begin());
        const std::uint64_t need = next.prompt_tokens + next.tokens;
        if (memory_used_ + need > room && !running_.empty())
            return;
        waiting_.erase(waiting_.begin());
        join(next, outcome);
    }
}

void engine_model::make_room(step_outcome& outcome)
{
    // The step adds a token to each decoding generation.
    while (memory_used_ + finishing_.size() > settings_.memory_tokens &&
           running_.size() > 1) {
        simulated_request& last = *std::get<2>(*running_.begin());
        leave_batch(last);
        ++last.preemptions;
        ++last.preemptions_of_start;
        waiting_.insert(waiting_key_of(last));
        outcome.preempted.push_back(&last);
    }
}

std::uint32_t engine_model::prefill(step_outcome& outcome)
{
    std::uint32_t budget = settings_.prefill_chunk;
    while (budget > 0 && !prefilling_.empty()) {
        simulated_request& request = *prefilling_.front();
        const std::uint32_t part = std::min(budget, request.prefill_left);
        request.prefill_left -= part;
        budget -= part;
        if (request.prefill_left > 0)
            break;
        prefilling_.pop_front();
        // The step that takes in the rest of the prompt gives a token too.
        start_decoding(request);
        if (request.tokens == 0)
            outcome.first_tokens.push_back(&request);
        else
            outcome.resumed.push_back(&request);
    }
    return settings_.prefill_chunk - budget;
}

step_outcome engine_model::step(core::time_point now, gap_histogram* gaps)
{
    static_cast<void>(now);
    step_outcome outcome;
    take_in(outcome);
    make_room(outcome);
    const std::size_t decoding_before = finishing_.size();
    const std::size_t batch = running_.size();
    const std::uint32_t prefilled = prefill(outcome);
    const std::chrono::duration<double, std::milli> took(
        settings_.step_base_ms +
        settings_.step_each_ms * static_cast<double>(batch) +
        settings_.prefill_token_ms * prefilled);
    outcome.took = std::chrono::ceil<core::duration>(took);
    if (gaps != nullptr)
        gaps->add(outcome.took, decoding_before);
    ++steps_;
    if (outcome.took > slow_gap)
        ++slow_steps_;
    memory_used_ += finishing_.size();
    // leave_batch adds to held_memory what decoding added to memory_used_.
    while (!finishing_.empty() && std::get<0>(*finishing_.begin()) <= steps_) {
        simulated_request& done = *std::get<2>(*finishing_.begin());
        leave_batch(done);
        outcome.finished.push_back(&done);
    }
    return outcome;
}

std::vector<simulated_request*> engine_model::crash()
{
    std::vector<simulated_request*> all;
    for (const auto& key : waiting_)
        all.push_back(std::get<2>(key));
    while (!running_.empty()) {
        simulated_request& request = *std::get<2>(*running_.begin());
        leave_batch(request);
        all.push_back(&request);
    }
    waiting_.clear();
    prefixes_.clear();
    return all;
}

} // namespace godwit::bench
