#include <godwit/http/event_stream_parser.hpp>

#include <utility>

namespace godwit::http {

core::result<std::vector<server_sent_event>>
event_stream_parser::push(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    for (const char byte : bytes) {
        // A line ends with LF, CR or CR LF; the LF after a CR belongs to
        // the line that is already over.
        const bool is_rest_of_break = after_carriage_return_ && byte == '\n';
        after_carriage_return_ = byte == '\r';
        if (is_rest_of_break)
            continue;
        if (byte == '\n' || byte == '\r') {
            end_line(events);
            continue;
        }
        line_.push_back(byte);
        if (++pending_bytes_ > event_bytes_)
            return core::fail(
                core::error_kind::exhausted,
                "an event is larger than " + std::to_string(event_bytes_) +
                    " bytes",
                "close the stream; its sender breaks the protocol");
    }
    return events;
}

void event_stream_parser::end_line(std::vector<server_sent_event>& events)
{
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    std::string_view line = line_;
    if (std::exchange(at_start_, false) && line.starts_with(byte_order_mark))
        line.remove_prefix(byte_order_mark.size());
    if (line.empty()) {
        if (has_field_)
            events.push_back(std::move(event_));
        event_ = server_sent_event();
        has_field_ = false;
        has_data_ = false;
        pending_bytes_ = 0;
    } else if (line.front() != ':') {
        const auto colon = line.find(':');
        std::string_view value;
        if (colon != std::string_view::npos)
            value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        take_field(line.substr(0, colon), value);
    } else if (!has_field_) {
        // Comments keep a connection alive; they must not add up.
        pending_bytes_ = 0;
    }
    line_.clear();
}

void event_stream_parser::take_field(
    std::string_view name, std::string_view value)
{
    if (name == "data") {
        if (std::exchange(has_data_, true))
            event_.data.push_back('\n');
        event_.data += value;
        has_field_ = true;
    } else if (name == "event") {
        event_.name = value;
        has_field_ = true;
    } else if (name == "id" && value.find('\0') == std::string_view::npos) {
        event_.id = value;
        has_field_ = true;
    }
}

} // namespace godwit::http
