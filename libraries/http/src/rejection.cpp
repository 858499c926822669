#include <godwit/http/rejection.hpp>

namespace godwit::http {

std::string_view to_string(rejection_reason reason) noexcept
{
    switch (reason) {
    case rejection_reason::malformed:
        return "malformed";
    case rejection_reason::truncated_body:
        return "truncated_body";
    case rejection_reason::body_too_large:
        return "body_too_large";
    case rejection_reason::header_too_large:
        return "header_too_large";
    case rejection_reason::slow_header:
        return "slow_header";
    case rejection_reason::slow_body:
        return "slow_body";
    case rejection_reason::too_many_connections:
        return "too_many_connections";
    case rejection_reason::no_room:
        return "no_room";
    case rejection_reason::stopping:
        return "stopping";
    case rejection_reason::handler_failed:
        return "handler_failed";
    }
    return "malformed";
}

rejection make_rejection(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::malformed:
        break;
    case rejection_reason::truncated_body:
        return {
            reason,
            400,
            "the connection ended before the body was whole",
            "send as many bytes as Content-Length says"};
    case rejection_reason::body_too_large:
        return {
            reason,
            413,
            "the body is larger than this server takes",
            "send a smaller body"};
    case rejection_reason::header_too_large:
        return {
            reason,
            431,
            "the header is larger than this server takes",
            "send fewer or shorter header fields"};
    case rejection_reason::slow_header:
        return {
            reason,
            408,
            "the header did not arrive in time",
            "send the whole header at once"};
    case rejection_reason::slow_body:
        return {
            reason,
            408,
            "the body did not arrive in time",
            "send the body faster or in smaller requests"};
    case rejection_reason::too_many_connections:
        return {
            reason,
            503,
            "this server has as many connections as it takes",
            "come back later, or use another entry host"};
    case rejection_reason::no_room:
        return {
            reason,
            503,
            "this server has no memory for the request now",
            "send the request again later, or to another entry host"};
    case rejection_reason::stopping:
        return {
            reason,
            503,
            "this server ends before it could read the whole request",
            "send the request again, to another entry host"};
    case rejection_reason::handler_failed:
        return {
            reason,
            500,
            "the server failed to handle the request",
            "report the request to the operators"};
    }
    return {
        rejection_reason::malformed,
        400,
        "the request is not well-formed HTTP/1.1",
        "check the request line, the header fields and the framing"};
}

} // namespace godwit::http
