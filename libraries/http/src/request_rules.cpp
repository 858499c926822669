#include "request_rules.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace godwit::http {

namespace beast_http = boost::beast::http;

bool breaks_framing_rules(const parsed_request& head)
{
    constexpr unsigned http_1_1 = 11;
    // RFC 9112, section 3.2: exactly one Host in HTTP/1.1.
    if (head.version() >= http_1_1 && head.count(beast_http::field::host) != 1)
        return true;
    const auto codings = head.count(beast_http::field::transfer_encoding);
    if (codings == 0)
        return false;
    // Section 6.1: both framings together are an attempt at smuggling, and
    // HTTP/1.0 knows no transfer coding. Section 6.3: the length of a
    // request cannot be told unless the last coding is "chunked".
    return codings > 1 || head.version() < http_1_1 ||
           head.count(beast_http::field::content_length) > 0 || !head.chunked();
}

bool expects_continue(const parsed_request& head)
{
    return boost::beast::iequals(
        head[beast_http::field::expect], "100-continue");
}

rejection_reason classify_head_failure(const boost::system::error_code& failure)
{
    if (failure == beast_http::error::header_limit ||
        failure == beast_http::error::buffer_overflow)
        return rejection_reason::header_too_large;
    if (failure == beast_http::error::body_limit)
        return rejection_reason::body_too_large;
    return rejection_reason::malformed;
}

rejection_reason classify_body_failure(const boost::system::error_code& failure)
{
    if (failure == beast_http::error::body_limit)
        return rejection_reason::body_too_large;
    if (failure == beast_http::error::partial_message ||
        failure == beast_http::error::end_of_stream)
        return rejection_reason::truncated_body;
    return rejection_reason::malformed;
}

} // namespace godwit::http
