#pragma once

#include <godwit/http/header_fields.hpp>
#include <godwit/http/request.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::http {

/// How the body after a head is framed on the wire.
struct body_framing
{
    std::optional<std::size_t> content_length;
    bool is_chunked = false;
    bool keeps_connection = true;
};

/// The head of an answer. Fields of the caller that frame the message are
/// left out in favour of `framing`.
[[nodiscard]] std::string format_response_head(
    unsigned status, const header_fields& fields, const body_framing& framing);

/// The head of a request with a body of the request's length.
[[nodiscard]] std::string
format_request_head(const request& outgoing, std::string_view host);

/// One chunk of a chunked body; `data` is not empty.
[[nodiscard]] std::string format_chunk(std::string_view data);

/// The end of a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace godwit::http
