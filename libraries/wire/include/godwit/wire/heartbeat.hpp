#pragma once

namespace godwit::wire {

/// Keeps a quiet link from being taken for a dead one.
struct heartbeat
{
    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace godwit::wire
