#pragma once

#include <godwit/admission/start_predictor.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/queue_sums_conversion.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/wire/queue_sums.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace godwit::entry {

/// The predicted starts of this host's waiting streams, and what the hosts of
/// the cell tell each other for that.
class start_forecast
{
public:
    /// At most one message is sent in this time.
    static constexpr core::duration report_interval =
        std::chrono::milliseconds(100);

    start_forecast(std::uint64_t seed, telemetry::metrics& metrics)
        : random_(seed), metrics_(metrics)
    {}

    [[nodiscard]] admission::start_predictor& predictor() noexcept
    {
        return predictor_;
    }

    /// Decides whether a stream without a server is kept.
    [[nodiscard]] admission::start_decision
    decide(const admission::waiting_stream& stream, core::time_point now);

    /// Records that the caller of a refused request is told to retry at
    /// `retry.due`.
    void
    announce(const admission::announced_retry& retry, core::time_point now);

    /// Returns the next message to the cell, if one is due.
    [[nodiscard]] std::optional<wire::queue_sums> next(core::time_point now);

    /// Handles the message of a host of the cell.
    void handle(
        const core::host_name& host,
        const wire::queue_sums& message,
        core::time_point now);

private:
    void record_invalid(const core::host_name& host, std::size_t count);

    admission::start_predictor predictor_;
    core::random random_;
    telemetry::metrics& metrics_;
    std::vector<admission::announced_retry> unsent_retries_;
    core::time_point sent_at_{};
    bool was_idle_ = true;
    /// Hosts whose invalid sums were logged.
    std::set<core::host_name> invalid_sums_from_;
};

} // namespace godwit::entry
