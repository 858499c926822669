#include <godwit/entry/load_conversion.hpp>

#include <godwit/placement/event_gap_tracker.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::entry {

wire::server_work
to_wire(const placement::server_id& server, const placement::work_size& work)
{
    return wire::server_work{
        server.value(),
        work.requests,
        work.tokens,
        work.unread_tokens,
        work.arriving_tokens,
        work.gaps.streams,
        work.gaps.total_ms};
}

namespace {

bool has_valid_gaps(const wire::server_work& load)
{
    constexpr auto max_gap_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            placement::event_gap_tracker::max_gap)
            .count());
    return load.paced_streams <= load.requests &&
           load.gap_ms <= load.paced_streams * max_gap_ms;
}

} // namespace

received_load from_wire(const std::vector<wire::server_work>& loads)
{
    received_load received;
    received.work.reserve(loads.size());
    for (const wire::server_work& load : loads) {
        placement::work_size work{
            load.requests,
            load.tokens,
            load.unread_tokens,
            load.arriving_tokens};
        if (has_valid_gaps(load))
            work.gaps = {load.paced_streams, load.gap_ms};
        else
            ++received.refused_gaps;
        received.work.push_back({placement::server_id(load.server), work});
    }
    return received;
}

} // namespace godwit::entry
