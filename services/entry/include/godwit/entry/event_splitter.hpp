#pragma once

#include <godwit/core/result.hpp>
#include <godwit/entry/raw_event.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// Splits an event stream into complete events without changing a byte, so that
/// the caller gets no part of an event that the server did not finish before it
/// died.
class event_splitter
{
public:
    /// The size of an event beyond which the stream fails. An engine's events
    /// are below 2 KB.
    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

    /// Returns the events that `bytes` complete. Fails with `exhausted` if one
    /// is larger than `max_event_bytes`.
    [[nodiscard]] core::result<std::vector<raw_event>>
    push(std::string_view bytes);

    /// Whether no incomplete event is pending.
    [[nodiscard]] bool is_at_event_boundary() const noexcept
    {
        return pending_.empty();
    }

    /// The bytes of the incomplete event.
    [[nodiscard]] std::size_t pending_bytes() const noexcept
    {
        return pending_.size();
    }

private:
    std::string pending_;
};

} // namespace godwit::entry
