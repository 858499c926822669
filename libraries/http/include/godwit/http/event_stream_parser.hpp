#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/server_sent_event.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::http {

/// Reads an event stream from pieces of any size. Unlike a browser it does
/// not carry an id over to later events, and hands out events without data
/// that have a name or an id.
class event_stream_parser
{
public:
    /// `event_bytes` bounds one event.
    explicit event_stream_parser(
        std::size_t event_bytes = default_event_bytes) noexcept
        : event_bytes_(event_bytes)
    {}

    /// The events that `bytes` complete. Fails with `exhausted` when an
    /// event is larger than the bound; the parser is of no use then.
    [[nodiscard]] core::result<std::vector<server_sent_event>>
    push(std::string_view bytes);

    /// Whether the stream so far ends between two events.
    [[nodiscard]] bool is_between_events() const noexcept
    {
        return line_.empty() && !has_field_;
    }

    static constexpr std::size_t default_event_bytes = std::size_t{64} * 1024;

private:
    void end_line(std::vector<server_sent_event>& events);
    void take_field(std::string_view name, std::string_view value);

    std::size_t event_bytes_;
    std::size_t pending_bytes_ = 0;
    std::string line_;
    server_sent_event event_;
    bool has_field_ = false;
    bool has_data_ = false;
    bool after_carriage_return_ = false;
    bool at_start_ = true;
};

} // namespace godwit::http
