#pragma once

namespace godwit::routing {

/// How the answers of a route come.
enum class response_mode
{
    buffered,     ///< One body, delivered when it is complete.
    event_stream, ///< Events with rising ids, delivered as they come.
};

} // namespace godwit::routing
