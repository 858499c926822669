#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/wait_queue.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/queueing/cell_queue.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/wire/waiting_heads.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace godwit::entry {

/// Shares the order of waiting requests with the other hosts of the cell, if
/// the settings say so. Used on one executor.
class shared_queue
{
public:
    /// Orders `queue`, which has to outlive this object, as do the others.
    shared_queue(
        const entry_settings& settings,
        wait_queue& queue,
        telemetry::metrics& metrics);
    ~shared_queue();

    shared_queue(const shared_queue&) = delete;
    shared_queue& operator=(const shared_queue&) = delete;

    [[nodiscard]] bool is_enabled() const noexcept
    {
        return settings_.shares_order;
    }

    /// Returns the time until the next attempt of a request that found capacity
    /// at the server; zero if it may use it now.
    [[nodiscard]] core::duration delay(
        const queueing::waiting_request& request,
        const placement::server_id& server,
        core::time_point now);

    /// Returns the earliest time of the next attempt of a request that found no
    /// capacity at `now`.
    [[nodiscard]] core::time_point next_attempt(
        const queueing::waiting_request& request, core::time_point now);

    void begin_run(
        const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);
    void end_run(
        const core::organisation_name& organisation,
        std::uint64_t tokens,
        core::time_point now);

    /// Handles a message from a host of the cell.
    void handle(
        const core::host_name& host,
        const wire::waiting_heads& message,
        core::time_point now);

    /// Returns the message to the cell that is due, if any.
    [[nodiscard]] std::optional<wire::waiting_heads>
    next_message(core::time_point now);

    /// Called when the hosts of the cell changed; these are the others.
    void set_cell_peers(const std::set<core::host_name>& peers);

private:
    struct counts
    {
        std::size_t yields = 0;
        std::size_t overdue = 0;

        friend bool operator==(const counts&, const counts&) = default;
    };

    const queueing::queue_order& order(core::time_point now);
    void reject(const core::host_name& host, std::size_t refused);
    void log_counts(core::time_point now);

    const entry_settings& settings_;
    wait_queue& queue_;
    telemetry::metrics& metrics_;
    queueing::cell_queue cell_;
    std::optional<queueing::queue_order> order_; ///< As of `ordered_at_`.
    core::time_point ordered_at_{};
    counts counts_; ///< Since the last log line.
    core::time_point logged_at_{};
    /// Hosts whose malformed messages were logged.
    std::set<core::host_name> malformed_from_;
};

} // namespace godwit::entry
