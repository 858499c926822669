#pragma once

namespace godwit::routing {

/// How often a caller's request may be executed.
enum class retry_semantics
{
    idempotent,   ///< More than once without harm.
    at_most_once, ///< A second execution would have a second effect.
};

} // namespace godwit::routing
