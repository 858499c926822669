#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

/// A stream that is being relayed, as the register of streams sees it.
class running_stream
{
public:
    virtual ~running_stream() = default;

    /// The server that runs the generation leaves.
    virtual void on_server_draining() = 0;

    /// The server began anew: the generation is gone there.
    virtual void on_server_restarted() = 0;

    /// How long nothing has come from the server, if something should have.
    [[nodiscard]] virtual core::duration
    idle_time(core::time_point now) const = 0;

protected:
    running_stream() = default;
    running_stream(const running_stream&) = default;
    running_stream& operator=(const running_stream&) = default;
};

} // namespace godwit::entry
