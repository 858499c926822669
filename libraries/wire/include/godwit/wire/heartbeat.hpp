#pragma once

namespace godwit::wire {

/// Sent on an idle link so that the peer does not close it as dead.
struct heartbeat
{
    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace godwit::wire
