#pragma once

#include <string>
#include <string_view>

namespace godwit::http {

/// Why the server answered by itself.
enum class rejection_reason
{
    malformed,            ///< 400: not HTTP/1.1, or contradictory framing.
    truncated_body,       ///< 400: the caller ended before its body did.
    body_too_large,       ///< 413.
    header_too_large,     ///< 431.
    slow_header,          ///< 408.
    slow_body,            ///< 408.
    too_many_connections, ///< 503.
    no_room,              ///< 503: other requests hold the server's memory.
    stopping,             ///< 503: the server ends before the request is read.
    handler_failed,       ///< 500: a fault of the program.
};

/// The name of `reason` as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(rejection_reason reason) noexcept;

/// A request that never reached the handler, or that the handler left
/// without an answer.
struct rejection
{
    rejection_reason reason = rejection_reason::malformed;
    unsigned status = 400;
    std::string detail; ///< One sentence for the sender.
    std::string remedy; ///< What the sender can do.

    friend bool operator==(const rejection&, const rejection&) = default;
};

/// The rejection of that reason with its status, detail and remedy.
[[nodiscard]] rejection make_rejection(rejection_reason reason);

} // namespace godwit::http
