#include "run_figures.hpp"

#include <algorithm>

namespace godwit::bench {

measurements collect_figures(run_state& run)
{
    for (simulated_request& request : run.requests) {
        if (request.stage != request_stage::queued &&
            request.stage != request_stage::sent)
            continue;
        const core::time_point since =
            request.first_token_at.time_since_epoch().count() > 0
                ? request.last_token_at
                : request.arrives_at;
        request.longest_silence =
            std::max(request.longest_silence, run.events.now() - since);
    }
    return measure_run(run.plan, run.requests, run.gaps);
}

} // namespace godwit::bench
