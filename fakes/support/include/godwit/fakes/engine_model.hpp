#pragma once

#include <godwit/core/time.hpp>
#include <godwit/fakes/engine_load.hpp>
#include <godwit/fakes/engine_settings.hpp>
#include <godwit/fakes/generation_order.hpp>
#include <godwit/fakes/generation_view.hpp>
#include <godwit/fakes/order_state.hpp>
#include <godwit/fakes/prefix_cache.hpp>
#include <godwit/fakes/start_verdict.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace godwit::fakes {

/// An engine without its sockets. It works in steps: each gives one token to
/// every running generation and takes longer the more of them there are.
/// When the memory is full the newest generation of the lowest priority is
/// pushed off and waits for its place again.
class engine_model
{
public:
    [[nodiscard]] static engine_model create(const engine_settings& settings);

    engine_model(engine_model&&) = default;

    [[nodiscard]] start_verdict
    start(const generation_order& order, core::time_point now);

    /// Ends a generation and forgets it. False when it is not known.
    bool cancel(const core::generation_id& id, core::time_point now);

    /// Carries out every step that is due.
    void advance(core::time_point now);

    /// When the next step is due; nothing when all is idle.
    [[nodiscard]] std::optional<core::time_point> next_step() const noexcept
    {
        return next_step_;
    }

    [[nodiscard]] std::optional<generation_view>
    find(const core::generation_id& id) const;

    /// The load as it was `load_lag` ago.
    [[nodiscard]] engine_load reported_load(core::time_point now) const;

    [[nodiscard]] engine_load current_load() const;

    /// Pushes off a generation at the next step whatever the memory.
    void preempt_next() { preempts_next_ = true; }

    /// A leaving engine refuses starts and finishes what it has.
    void set_leaving(bool leaving) { is_leaving_ = leaving; }

    [[nodiscard]] bool is_leaving() const noexcept { return is_leaving_; }

    [[nodiscard]] order_state& orders() noexcept { return orders_; }

    [[nodiscard]] const prefix_cache& cache() const noexcept { return cache_; }

    [[nodiscard]] const engine_settings& settings() const noexcept
    {
        return settings_;
    }

private:
    struct generation
    {
        generation_order order;
        generation_view view;
        std::uint64_t arrival = 0;
        core::time_point ready; // The prompt is read by then.

        [[nodiscard]] std::uint64_t memory() const;
    };

    using generation_pointer = std::shared_ptr<generation>;

    struct load_sample
    {
        core::time_point at;
        engine_load load;
    };

    explicit engine_model(const engine_settings& settings);

    void step(core::time_point now);
    void admit_waiting(core::time_point now);
    void produce_tokens(core::time_point now);
    void preempt_for_memory();
    void preempt_one();
    void retire(const generation_pointer& finished);
    void note_load(core::time_point now);
    [[nodiscard]] std::uint64_t memory_used() const;
    [[nodiscard]] core::duration step_time() const;
    [[nodiscard]] core::duration prefill_time(const generation& admitted);

    engine_settings settings_;
    order_state orders_;
    prefix_cache cache_;
    std::unordered_map<core::generation_id, generation_pointer> known_;
    std::vector<generation_pointer> running_;
    std::vector<generation_pointer> waiting_;
    std::deque<core::generation_id> finished_; // The oldest first.
    std::deque<load_sample> samples_;
    std::optional<core::time_point> next_step_;
    std::uint64_t arrivals_ = 0;
    std::uint64_t preemptions_ = 0;
    bool preempts_next_ = false;
    bool is_leaving_ = false;
};

} // namespace godwit::fakes
