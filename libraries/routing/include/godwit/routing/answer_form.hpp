#pragma once

namespace godwit::routing {

/// How the answers of a route come.
enum class answer_form
{
    whole,        ///< One body, delivered when it is complete.
    event_stream, ///< Events with rising ids, delivered as they come.
};

} // namespace godwit::routing
