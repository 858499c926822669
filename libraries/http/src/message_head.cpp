#include "message_head.hpp"

#include <godwit/http/status.hpp>

#include <array>
#include <charconv>

namespace godwit::http {

namespace {

bool is_framing(std::string_view name)
{
    return same_field_name(name, "Content-Length") ||
           same_field_name(name, "Transfer-Encoding") ||
           same_field_name(name, "Connection") ||
           same_field_name(name, "Keep-Alive");
}

// A line break inside a value would let its sender write fields and answers
// of its own (RFC 9110, section 5.5, says to replace it by a space).
void append_clean(std::string& out, std::string_view text)
{
    for (const char letter : text) {
        const bool is_break =
            letter == '\r' || letter == '\n' || letter == '\0';
        out.push_back(is_break ? ' ' : letter);
    }
}

void append_field(
    std::string& out, std::string_view name, std::string_view value)
{
    append_clean(out, name);
    out += ": ";
    append_clean(out, value);
    out += "\r\n";
}

} // namespace

std::string format_response_head(
    unsigned status, const header_fields& fields, const body_framing& framing)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reason_phrase(status);
    out += "\r\n";
    for (const field& one : fields) {
        if (!is_framing(one.name))
            append_field(out, one.name, one.value);
    }
    if (framing.content_length)
        append_field(
            out, "Content-Length", std::to_string(*framing.content_length));
    if (framing.is_chunked)
        append_field(out, "Transfer-Encoding", "chunked");
    if (!framing.keeps_connection)
        append_field(out, "Connection", "close");
    out += "\r\n";
    return out;
}

std::string format_request_head(const request& outgoing, std::string_view host)
{
    std::string out;
    append_clean(out, outgoing.method);
    out += " ";
    append_clean(out, outgoing.target);
    out += " HTTP/1.1\r\n";
    if (!outgoing.fields.find("Host"))
        append_field(out, "Host", host);
    for (const field& one : outgoing.fields) {
        if (!is_framing(one.name))
            append_field(out, one.name, one.value);
    }
    const bool has_body = !outgoing.body.empty() || (outgoing.method != "GET" &&
                                                     outgoing.method != "HEAD");
    if (has_body)
        append_field(
            out, "Content-Length", std::to_string(outgoing.body.size()));
    out += "\r\n";
    return out;
}

std::string format_chunk(std::string_view data)
{
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto end =
        std::to_chars(
            digits.data(), digits.data() + digits.size(), data.size(), 16)
            .ptr;
    std::string out(digits.data(), end);
    out.reserve(out.size() + data.size() + 4);
    out += "\r\n";
    out += data;
    out += "\r\n";
    return out;
}

} // namespace godwit::http
