#pragma once

#include <string>

namespace godwit::http {

/// One event of an event stream (WHATWG HTML, "server-sent events").
struct server_sent_event
{
    std::string id;   ///< Empty when the event carries none.
    std::string name; ///< The "event" field; empty means "message".
    std::string data; ///< The data lines joined by line feeds.

    friend bool
    operator==(const server_sent_event&, const server_sent_event&) = default;
};

/// The event as it goes over the wire. A line break in `id` or `name` is
/// dropped, since it would begin another field.
[[nodiscard]] std::string format_event(const server_sent_event& event);

} // namespace godwit::http
