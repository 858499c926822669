#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/replay/engine_config.hpp>
#include <godwit/replay/generation_request.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::replay {

/// An event of a generation on an engine.
struct engine_event
{
    enum class kind
    {
        first_event,
        later_event,
        ended,
        preempted, ///< Memory ran out; its prompt is prefilled again.
    };

    std::size_t generation = 0;
    kind what = kind::ended;
    core::time_point at;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

/// An engine that works in steps. Each step decodes one token of every
/// generation whose prompt is prefilled, and prefills a chunk of the oldest
/// prompt that is not.
class simulated_engine
{
public:
    [[nodiscard]] static simulated_engine
    create(const engine_config& config, core::time_point now);

    /// Whether it has a free slot and memory for `tokens` now.
    [[nodiscard]] bool has_capacity(std::uint64_t tokens) const;

    void start(
        std::size_t generation,
        const generation_request& request,
        core::time_point now);

    /// Runs the steps that end by `now`.
    [[nodiscard]] std::vector<engine_event> advance(core::time_point now);

    [[nodiscard]] std::uint64_t used_tokens() const;

    /// Makes each step that starts from now on take `factor` times as long.
    void set_slowness(double factor) { slowness_ = factor; }

private:
    struct run
    {
        std::size_t generation = 0;
        std::uint32_t prompt_tokens = 0;
        std::uint32_t output_tokens = 0;
        std::uint32_t unread_tokens = 0;
        std::uint32_t written_tokens = 0;

        [[nodiscard]] std::uint64_t memory() const
        {
            return std::uint64_t{prompt_tokens} + written_tokens;
        }
    };

    simulated_engine(const engine_config& config, core::time_point now)
        : config_(config), step_start_(now)
    {}

    [[nodiscard]] run* next_to_prefill();
    [[nodiscard]] core::duration step_duration();
    void prefill_chunk();
    void decode_tokens(std::vector<engine_event>& events);
    void resume_preempted();
    void preempt_for_memory(std::vector<engine_event>& events);

    engine_config config_;
    std::vector<run> runs_;      ///< The oldest first.
    std::vector<run> preempted_; ///< Waiting for memory.
    core::time_point step_start_;
    double slowness_ = 1.0;
};

} // namespace godwit::replay
