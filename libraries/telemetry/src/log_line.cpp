#include <godwit/telemetry/log_line.hpp>

#include <algorithm>

namespace godwit::telemetry {

namespace {

bool is_plain(char byte)
{
    const auto code = static_cast<unsigned char>(byte);
    return code > ' ' && code != 0x7f && byte != '"' && byte != '=' &&
           byte != '\\';
}

void append_escaped(std::string& line, char byte)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(byte);
    if (byte == '"' || byte == '\\') {
        line += '\\';
        line += byte;
    } else if (byte == '\n') {
        line += "\\n";
    } else if (code < ' ' || code == 0x7f) {
        line += "\\x";
        line += digits[code >> 4U];
        line += digits[code & 0xfU];
    } else {
        line += byte;
    }
}

std::string format_value(const std::string& value)
{
    const bool is_truncated = value.size() > max_log_value_bytes;
    const std::string_view kept =
        std::string_view(value).substr(0, max_log_value_bytes);
    if (!is_truncated && !kept.empty() &&
        std::all_of(kept.begin(), kept.end(), is_plain))
        return value;
    std::string text = "\"";
    for (const char byte : kept)
        append_escaped(text, byte);
    text += is_truncated ? "...\"" : "\"";
    return text;
}

} // namespace

std::string
log_line(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=" + std::string(event);
    std::size_t omitted_fields = 0;
    for (const auto& field : fields) {
        const std::string value = format_value(field.value());
        if (line.size() + field.key().size() + value.size() + 2 >
            max_log_line_bytes) {
            ++omitted_fields;
            continue;
        }
        line += ' ';
        line += field.key();
        line += '=';
        line += value;
    }
    if (omitted_fields > 0)
        line += " fields_left_out=" + std::to_string(omitted_fields);
    return line;
}

} // namespace godwit::telemetry
