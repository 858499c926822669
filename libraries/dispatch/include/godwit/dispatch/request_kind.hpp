#pragma once

namespace godwit::dispatch {

/// What a request asks of a backend server.
enum class request_kind
{
    generation, ///< Tokens from an engine, of unknown number.
    call,       ///< One short answer from a plain service.
};

} // namespace godwit::dispatch
