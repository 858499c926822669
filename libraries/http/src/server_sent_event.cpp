#include <godwit/http/server_sent_event.hpp>

#include <string_view>

namespace godwit::http {

namespace {

void append_line(
    std::string& out, std::string_view field, std::string_view value)
{
    out += field;
    out += ": ";
    for (const char letter : value) {
        if (letter != '\n' && letter != '\r')
            out.push_back(letter);
    }
    out += '\n';
}

} // namespace

std::string format_event(const server_sent_event& event)
{
    std::string out;
    if (!event.id.empty())
        append_line(out, "id", event.id);
    if (!event.name.empty())
        append_line(out, "event", event.name);
    std::string_view rest = event.data;
    while (true) {
        const auto line_end = rest.find('\n');
        append_line(out, "data", rest.substr(0, line_end));
        if (line_end == std::string_view::npos)
            break;
        rest.remove_prefix(line_end + 1);
    }
    out += '\n';
    return out;
}

} // namespace godwit::http
