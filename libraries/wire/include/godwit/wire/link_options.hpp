#pragma once

#include <godwit/core/time.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>

namespace godwit::wire {

/// Bounds and times of one link.
struct link_options
{
    /// The largest frame body in either direction, in bytes.
    std::size_t frame_limit = default_frame_limit;

    /// Bytes that may wait to be sent. A link whose peer reads too slowly for
    /// that is closed with `exhausted`; nothing is dropped from an open link.
    std::size_t send_queue_limit = 16 * default_frame_limit;

    /// How long the peer may take for its hello.
    core::duration hello_timeout = std::chrono::seconds(5);

    /// A heartbeat is sent when nothing else was for this long.
    core::duration heartbeat_interval = std::chrono::seconds(1);

    /// A link is closed with `timeout` when nothing came for this long.
    core::duration idle_timeout = std::chrono::seconds(5);

    friend bool operator==(const link_options&, const link_options&) = default;
};

} // namespace godwit::wire
