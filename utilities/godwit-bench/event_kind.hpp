#pragma once

namespace godwit::bench {

/// What happens at a moment of a run.
enum class event_kind
{
    arrival,
    hand_over,
    reach_server,
    step_end,
    call_end,
    sample_load,
    deliver_report,
    deliver_cache,
    host_tick,
    patience,
    engine_lost,
    engine_back,
    servers_noticed,
};

} // namespace godwit::bench
