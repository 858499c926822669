#pragma once

#include "engine_settings.hpp"
#include "gap_histogram.hpp"
#include "simulated_request.hpp"

#include <godwit/core/time.hpp>

#include <cstdint>
#include <list>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace godwit::bench {

/// What happened in a step of an engine.
struct step_outcome
{
    core::duration took{};
    std::vector<simulated_request*> first_tokens;
    std::vector<simulated_request*> resumed;
    std::vector<simulated_request*> finished;
    std::vector<simulated_request*> preempted;
    std::vector<std::uint32_t> stored_prefixes;
    std::vector<std::uint32_t> evicted_prefixes;
};

/// A model engine: a continuous batch in limited memory. A step gives each
/// decoding generation a token. When memory runs out it pushes off the
/// generation of the lowest priority that joined last, and takes in its
/// prompt and tokens anew later.
class engine_model
{
public:
    explicit engine_model(engine_settings settings);

    /// Queues a generation; false if the queue is full.
    [[nodiscard]] bool submit(simulated_request& request);

    void cancel(simulated_request& request);
    void raise_priority(simulated_request& request, int priority);

    /// Runs a step that starts at `now`; gaps go to `gaps` if not null.
    [[nodiscard]] step_outcome step(core::time_point now, gap_histogram* gaps);

    /// Forgets everything and returns what it had.
    [[nodiscard]] std::vector<simulated_request*> crash();

    [[nodiscard]] bool idle() const noexcept
    {
        return running_.empty() && waiting_.empty();
    }

    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_.size();
    }

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

    [[nodiscard]] std::uint64_t memory_used() const noexcept
    {
        return memory_used_;
    }

    /// Tokens that the generation has by now.
    [[nodiscard]] std::uint32_t
    tokens_of(const simulated_request& request) const noexcept;

private:
    /// Highest priority first, then the longest waiting.
    using waiting_key = std::tuple<int, std::uint64_t, simulated_request*>;
    /// Lowest priority first, then the newest.
    using running_key = std::tuple<int, std::int64_t, simulated_request*>;
    /// By the step of the last token.
    using finish_key =
        std::tuple<std::uint64_t, std::uint64_t, simulated_request*>;

    [[nodiscard]] static waiting_key waiting_key_of(simulated_request& request);
    [[nodiscard]] static running_key running_key_of(simulated_request& request);
    [[nodiscard]] finish_key finish_key_of(simulated_request& request) const;

    void take_in(step_outcome& outcome);
    [[nodiscard]] std::uint32_t prefill(step_outcome& outcome);
    void make_room(step_outcome& outcome);
    void join(simulated_request& request, step_outcome& outcome);
    void leave_batch(simulated_request& request);
    void start_decoding(simulated_request& request);
    [[nodiscard]] bool use_prefix(std::uint32_t prefix, step_outcome& outcome);

    engine_settings settings_;
    std::set<waiting_key> waiting_;
    std::set<running_key> running_;
    std::set<finish_key> finishing_;
    std::list<simulated_request*> prefilling_;
    std::list<std::uint32_t> prefixes_;
    std::uint64_t memory_used_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t slow_steps_ = 0;
    std::uint64_t next_join_ = 1;
};

} // namespace godwit::bench
