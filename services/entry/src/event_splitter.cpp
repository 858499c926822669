#include <godwit/entry/event_splitter.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace godwit::entry {

namespace {

// Returns the size of the first complete event, or 0. An empty line ends an
// event; lines end in LF or CRLF.
std::size_t first_event(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const std::string_view rest = text.substr(at + 1);
        if (rest.starts_with("\n"))
            return at + 2;
        if (rest.starts_with("\r\n"))
            return at + 3;
    }
    return 0;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t number = 0;
        const auto read =
            std::from_chars(line.data(), line.data() + line.size(), number);
        if (read.ec == std::errc())
            return number;
    }
    return std::nullopt;
}

} // namespace

core::result<std::vector<raw_event>>
event_splitter::push(std::string_view bytes)
{
    pending_ += bytes;
    std::vector<raw_event> events;
    std::size_t done = 0;
    while (true) {
        const std::string_view rest = std::string_view(pending_).substr(done);
        const std::size_t size = first_event(rest);
        if (size == 0)
            break;
        const std::string_view whole = rest.substr(0, size);
        events.push_back(raw_event{std::string(whole), id_of(whole)});
        done += size;
    }
    pending_.erase(0, done);
    if (pending_.size() > max_event_bytes)
        return core::fail(
            core::error_kind::exhausted,
            "an event is larger than " + std::to_string(max_event_bytes) +
                " bytes",
            "check that the backend server sends an event stream");
    return events;
}

} // namespace godwit::entry
