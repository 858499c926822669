#pragma once

#include <cstdint>
#include <map>

namespace godwit::dispatch {

class class_queue;
class organisation_account;
struct tracked_request;

/// The requests of one organisation in one class of one service.
struct flow
{
    organisation_account* account = nullptr;
    class_queue* queue = nullptr;
    /// The order in which flows were made, which breaks ties.
    std::uint64_t number = 0;
    /// Tokens received so far, as the virtual time of fair queueing.
    double served = 0.0;
    /// Queued requests in their order of arrival.
    std::map<std::uint64_t, tracked_request*> waiting;
    std::uint32_t running = 0;
    /// Waits for the organisation's limits.
    bool suspended = false;
};

} // namespace godwit::dispatch
