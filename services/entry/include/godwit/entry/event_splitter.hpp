#pragma once

#include <godwit/core/result.hpp>
#include <godwit/entry/raw_event.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// Cuts an event stream into whole events without changing a byte, so that
/// a server that dies within an event leaves none of it with the caller.
class event_splitter
{
public:
    /// A longer event ends the stream: an engine's are below 2 KB.
    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

    /// The events that `bytes` complete. Fails with `exhausted` when one is
    /// larger than the bound.
    [[nodiscard]] core::result<std::vector<raw_event>>
    push(std::string_view bytes);

    /// Whether the stream so far ends between two events.
    [[nodiscard]] bool is_at_event_boundary() const noexcept
    {
        return pending_.empty();
    }

private:
    std::string pending_;
};

} // namespace godwit::entry
