#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/telemetry/metrics.hpp>

#include <optional>

namespace godwit::telemetry {

/// Records the metrics of one request: stall time, preemptions and gaps between
/// tokens. Not thread-safe; used on the request's strand.
class request_metrics
{
public:
    request_metrics(
        metrics& target,
        core::service_name service,
        core::request_class_name request_class,
        core::time_point accepted_at);

    /// Tokens were delivered to the caller, or buffered for it.
    void tokens_arrived(core::time_point now);

    /// An engine preempted the generation.
    void preempted();

    /// A response that belongs to another request was dropped.
    void crossed();

    /// The request ended.
    void finished(core::outcome outcome, core::time_point now);

private:
    metrics& metrics_;
    labels labels_;
    prometheus::Histogram& gaps_;
    core::time_point accepted_at_;
    std::optional<core::time_point> last_token_at_;
    core::duration longest_wait_{};
};

} // namespace godwit::telemetry
