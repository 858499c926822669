#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

struct routed_call;

/// The stream registry's view of a stream that is being relayed.
class running_stream
{
public:
    virtual ~running_stream() = default;

    /// Called when the server that runs the generation starts to drain.
    virtual void on_server_draining() = 0;

    /// Called when the server restarted, so that the generation is lost there.
    virtual void on_server_restarted() = 0;

    /// Called when another version of the route table is in force.
    virtual void on_routes_changed() = 0;

    /// How long the server has sent nothing, beyond the time that it may take
    /// to the first event.
    [[nodiscard]] virtual core::duration
    idle_time(core::time_point now) const = 0;

    /// Returns the request if its response has been written for so long that no
    /// part of its prompt can crash servers when they begin to respond;
    /// otherwise null.
    [[nodiscard]] virtual const routed_call* sustained_call() const = 0;

protected:
    running_stream() = default;
    running_stream(const running_stream&) = default;
    running_stream& operator=(const running_stream&) = default;
};

} // namespace godwit::entry
