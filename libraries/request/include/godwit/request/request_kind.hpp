#pragma once

namespace godwit::request {

/// What stands behind the service that a request addresses.
enum class request_kind
{
    generation,   ///< A model engine; answers are tokens and can be resumed.
    service_call, ///< A plain service; the answer is one body.
};

/// How the caller wants its answer.
enum class answer_mode
{
    streamed, ///< Each token as it arrives.
    whole,    ///< One body at the end; nothing reaches the caller before.
};

/// Whether the system may run the request a second time.
enum class repeatability
{
    repeatable,
    not_repeatable,
};

/// Whether the service itself recognises a repeated idempotency key on every
/// one of its backend servers.
enum class deduplication
{
    none,
    by_service,
};

} // namespace godwit::request
