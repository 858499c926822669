#pragma once

#include <godwit/admission/service_queue.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>

namespace godwit::admission {

/// The streams at the neighbours of a cell, as they reported them.
class cell_queues
{
public:
    /// A neighbour that died or cannot be reached counts no longer than this.
    static constexpr core::duration report_lifetime = std::chrono::seconds(1);
    /// Reports of further neighbours are ignored; a cell has at most 32 hosts.
    static constexpr std::size_t max_neighbours = 64;

    /// Replaces the report of `host`.
    void update(
        const core::host_name& host, host_queues queues, core::time_point now);

    /// Returns the sums of one service over all current reports.
    [[nodiscard]] service_queue
    at(const core::service_name& service, core::time_point now) const;

    void expire(core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return reports_.size(); }

private:
    struct report
    {
        host_queues queues;
        core::time_point received_at;
    };

    std::map<core::host_name, report> reports_;
};

} // namespace godwit::admission
