#pragma once

namespace godwit::routing {

/// How often a backend server may run one request of a caller.
enum class retry_semantics
{
    idempotent,   ///< More than once without harm.
    at_most_once, ///< A second run would be a second effect.
};

} // namespace godwit::routing
