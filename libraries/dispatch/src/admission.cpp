#include "admission.hpp"

#include <algorithm>

namespace godwit::dispatch {

namespace {

double
promised_tokens(const service_queue& service, const server_account& server)
{
    return server.load.memory_tokens() + server.own_expected +
           server.foreign_running() * service.foreign_expected();
}

double reserved_for_others(
    const service_queue& service,
    const server_account& server,
    const class_queue& own,
    double capacity)
{
    double reserved = 0.0;
    for (const auto& [name, queue] : service.classes) {
        const double floor = queue.limits().memory_floor;
        if (&queue == &own || floor <= 0.0)
            continue;
        const auto used = server.class_tokens.find(&queue);
        const double taken =
            used == server.class_tokens.end() ? 0.0 : used->second;
        reserved += std::max(0.0, floor * capacity - taken);
    }
    return reserved;
}

// A class may always use this host's share of its floor, whatever the reports
// say: the other classes leave it free.
bool within_floor(
    const service_queue& service,
    const server_account& server,
    const tracked_request& request,
    double capacity)
{
    const class_queue* const queue = request.owner->queue;
    const auto used = server.class_tokens.find(queue);
    const double taken = used == server.class_tokens.end() ? 0.0 : used->second;
    const double need = static_cast<double>(request.arrival.prompt_tokens) +
                        request.expected_rest();
    return taken + need <=
           queue->limits().memory_floor * capacity / service.entry_hosts;
}

bool excluded(const tracked_request& request, const server_account& server)
{
    const auto& names = request.arrival.excluded;
    return std::find(names.begin(), names.end(), server.description.address) !=
           names.end();
}

} // namespace

bool admits(
    const service_queue& service,
    const server_account& server,
    const tracked_request& request,
    core::time_point now)
{
    if (!server.eligible || server.avoid_until > now ||
        excluded(request, server))
        return false;
    const std::uint32_t limit = server.description.capacity.running;
    if (limit > 0 && server.load.running() >= limit)
        return false;
    const double capacity = server.memory_capacity();
    if (capacity <= 0.0 || request.arrival.kind == request_kind::call)
        return true;
    if (within_floor(service, server, request, capacity))
        return true;
    // What the engine pushed off goes on before anything fresh starts.
    const bool fresh = request.times_preempted == 0;
    if (fresh && (server.own_pushed_off > 0 || server.load.waiting() > 0))
        return false;
    // An empty server takes anything, or the largest would never start.
    if (server.load.running() <= 0.0)
        return true;
    const double need = static_cast<double>(request.arrival.prompt_tokens) +
                        request.expected_rest();
    const double reserved =
        reserved_for_others(service, server, *request.owner->queue, capacity);
    return promised_tokens(service, server) + need + reserved <=
           service.limits.overcommit * capacity;
}

double occupancy(const service_queue& service, const server_account& server)
{
    const double capacity = server.memory_capacity();
    const std::uint32_t limit = server.description.capacity.running;
    const double running = server.load.running();
    const double memory =
        capacity > 0.0 ? promised_tokens(service, server) / capacity : 0.0;
    if (limit == 0)
        return capacity > 0.0 ? memory : running;
    return std::max(memory, running / limit);
}

} // namespace godwit::dispatch
