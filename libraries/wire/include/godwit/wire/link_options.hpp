#pragma once

#include <godwit/core/time.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>

namespace godwit::wire {

/// Limits and timeouts of a link.
struct link_options
{
    /// The largest frame body in either direction, in bytes.
    std::size_t frame_limit = default_frame_limit;

    /// Most bytes that may be queued. A link whose peer reads too slowly is
    /// closed with `exhausted`; an open link never drops queued messages.
    std::size_t send_queue_limit = 16 * default_frame_limit;

    /// Time within which the peer must send its hello.
    core::duration hello_timeout = std::chrono::seconds(5);

    /// A heartbeat is sent if nothing else was sent for this long.
    core::duration heartbeat_interval = std::chrono::seconds(1);

    /// A link is closed with `timeout` if nothing arrived for this long.
    core::duration idle_timeout = std::chrono::seconds(5);

    friend bool operator==(const link_options&, const link_options&) = default;
};

} // namespace godwit::wire
