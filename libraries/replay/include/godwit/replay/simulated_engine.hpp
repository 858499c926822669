#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/replay/engine_config.hpp>
#include <godwit/replay/generation_request.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::replay {

/// Something that an engine did with a generation.
struct engine_event
{
    enum class kind
    {
        first_event,
        later_event,
        ended,
        preempted, ///< Memory ended; its prompt is read again.
    };

    std::size_t generation = 0;
    kind what = kind::ended;
    core::time_point at;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

/// An engine that works in steps: each gives one token to every generation
/// whose prompt is read, and reads a chunk of the oldest prompt that is not.
class simulated_engine
{
public:
    [[nodiscard]] static simulated_engine
    create(const engine_config& shape, core::time_point now);

    /// Whether it has a slot and memory for `tokens` now.
    [[nodiscard]] bool has_room(std::uint64_t tokens) const;

    void start(
        std::size_t generation,
        const generation_request& order,
        core::time_point now);

    /// Carries out the steps that end by `now`.
    [[nodiscard]] std::vector<engine_event> advance(core::time_point now);

    [[nodiscard]] std::uint64_t used_tokens() const;

    /// Each step that begins from now on takes so many times as long.
    void set_slowness(double times) { slowness_ = times; }

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

    simulated_engine(const engine_config& shape, core::time_point now)
        : shape_(shape), step_begins_(now)
    {}

    [[nodiscard]] run* next_to_read();
    [[nodiscard]] core::duration step_span();
    void read_chunk();
    void write_tokens(std::vector<engine_event>& events);
    void take_back_preempted();
    void preempt_for_memory(std::vector<engine_event>& events);

    engine_config shape_;
    std::vector<run> runs_;      ///< The oldest first.
    std::vector<run> preempted_; ///< They wait for memory.
    core::time_point step_begins_;
    double slowness_ = 1.0;
};

} // namespace godwit::replay
