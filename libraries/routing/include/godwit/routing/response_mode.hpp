#pragma once

namespace godwit::routing {

/// How the responses of a route are delivered.
enum class response_mode
{
    buffered,     ///< One body, delivered when it is complete.
    event_stream, ///< Events with increasing ids, delivered as they arrive.
};

} // namespace godwit::routing
