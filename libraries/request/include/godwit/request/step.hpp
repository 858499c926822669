#pragma once

#include <string_view>

namespace godwit::request {

/// Where one request stands, from its arrival to its final answer.
enum class step
{
    accepted,    ///< Parsed and authorised; a claim may be pending.
    claimed,     ///< This host holds the claim, or is attached to its holder.
    queued,      ///< Waiting for dispatch to grant a backend server.
    connecting,  ///< A backend server was granted; no connection yet.
    sent,        ///< Bytes may have been handed over; no token yet.
    first_token, ///< One token arrived.
    mid_stream,  ///< More than one token arrived.
    last_token,  ///< The finish reason arrived; the end marker did not.
    finishing,   ///< The whole answer is on its way to the caller.
    resuming,    ///< The link is gone; the same generation is asked again.
    finished,    ///< The caller has its final answer.
};

/// The name of `value` as it appears in logs and golden files.
[[nodiscard]] std::string_view to_string(step value) noexcept;

} // namespace godwit::request
