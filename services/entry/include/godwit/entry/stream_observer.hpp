#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/event_gaps.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace godwit::entry {

/// Records what one stream shows about output lengths and engine speeds in the
/// host's `generation_statistics`.
class stream_observer
{
public:
    stream_observer(
        entry_context& context, std::shared_ptr<const routed_call> call);

    /// Called when the request is sent, after its reservation was made.
    void on_sent(const placement::server_id& server, core::time_point now);

    /// Called when events have arrived. `events` is the number of events of the
    /// stream so far.
    void on_events(
        std::uint64_t events,
        const placement::event_gaps& gaps,
        core::time_point now);

    /// Called when the stream ended by itself.
    void on_completed(core::time_point now);

private:
    struct sent_request
    {
        core::time_point sent_at;
        std::uint64_t unread_tokens = 0;
    };

    [[nodiscard]] bool is_observed() const;

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    /// Until the first event.
    std::optional<sent_request> sent_;
    std::uint64_t written_tokens_ = 0;
};

} // namespace godwit::entry
