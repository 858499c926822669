#pragma once

#include "entry_hosts.hpp"
#include "run_state.hpp"

#include <godwit/dispatch/event.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::bench {

/// The engines' work: generations that reach them, the steps of their
/// batches, and an engine's loss.
template<entry_policy Policy>
class engine_stepping
{
public:
    /// Both outlive this.
    engine_stepping(run_state& run, entry_hosts<Policy>& hosts);

    /// Schedules the loss of an engine and its return.
    void start();

    /// A generation reaches its engine.
    void reach(simulated_request& request);

    /// A step ends, unless the engine was lost since it began.
    void end_step(std::size_t index, std::uint64_t epoch);

    void lose(std::size_t index);
    void bring_back(std::size_t index);

    /// The hosts hear of a change of a prefix cache.
    void deliver_cache(std::size_t number);

private:
    void begin_step(std::size_t index);
    void report_preempted(const simulated_engine& subject);
    void report_cache(
        std::size_t index, std::uint32_t prefix, dispatch::cache_action action);
    void note_first_token(
        simulated_request& request, const simulated_engine& subject);
    void note_resumed(simulated_request& request);
    void catch_up_tokens(simulated_request& request);

    run_state& run_;
    entry_hosts<Policy>& hosts_;
    std::vector<dispatch::cache_changed> cache_events_;
};

} // namespace godwit::bench
