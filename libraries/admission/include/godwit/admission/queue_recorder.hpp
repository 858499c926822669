#pragma once

#include <godwit/admission/service_queue.hpp>
#include <godwit/admission/work_window.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <map>

namespace godwit::admission {

/// Records the streams that arrive, wait and start at this host.
class queue_recorder
{
public:
    void record_arrival(
        const core::service_name& service,
        int order,
        const work_amount& work,
        core::time_point now);

    void record_start(
        const core::service_name& service,
        int order,
        const work_amount& work,
        core::time_point now);

    void add_waiting(
        const core::service_name& service, int order, const work_amount& work);

    void remove_waiting(
        const core::service_name& service, int order, const work_amount& work);

    /// Returns what waits now and what arrived and started in the window.
    [[nodiscard]] host_queues sums(core::time_point now) const;

    /// Removes services without any work.
    void expire(core::time_point now);

private:
    struct recorded
    {
        work_amount waiting;
        work_window arrived;
        work_window started;
    };

    [[nodiscard]] recorded*
    find_or_add(const core::service_name& service, int order);

    std::map<core::service_name, std::map<int, recorded>> services_;
};

} // namespace godwit::admission
