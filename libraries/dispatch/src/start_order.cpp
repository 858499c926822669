#include "start_order.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace godwit::dispatch {

namespace {

constexpr double window_seconds = 10.0;

struct totals
{
    double starts = 0.0;
    double memory = 0.0;
};

bool below_floor(const class_queue& queue, const totals& all)
{
    const class_policy& limits = queue.limits();
    return queue.recent_starts < limits.start_floor * all.starts ||
           queue.memory_tokens < limits.memory_floor * all.memory;
}

} // namespace

std::vector<class_queue*> start_order(service_queue& service)
{
    totals all;
    std::vector<class_queue*> order;
    for (auto& [name, queue] : service.classes) {
        all.starts += queue.recent_starts;
        all.memory += queue.memory_tokens;
        if (queue.size() > 0)
            order.push_back(&queue);
    }
    std::sort(
        order.begin(),
        order.end(),
        [&](const class_queue* left, const class_queue* right) {
            const bool left_below = below_floor(*left, all);
            const bool right_below = below_floor(*right, all);
            if (left_below != right_below)
                return left_below;
            return left->served < right->served;
        });
    return order;
}

void fade_starts(service_queue& service, core::time_point now)
{
    const std::chrono::duration<double> elapsed = now - service.starts_faded_at;
    service.starts_faded_at = now;
    const double kept = std::exp(-elapsed.count() / window_seconds);
    for (auto& [name, queue] : service.classes)
        queue.recent_starts *= kept;
}

} // namespace godwit::dispatch
