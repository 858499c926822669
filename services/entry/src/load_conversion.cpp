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

bool has_valid_gaps(const wire::server_work& told)
{
    constexpr auto longest_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            placement::event_gap_tracker::max_gap)
            .count());
    return told.paced_streams <= told.requests &&
           told.gap_ms <= told.paced_streams * longest_ms;
}

} // namespace

received_load from_wire(const std::vector<wire::server_work>& said)
{
    received_load heard;
    heard.work.reserve(said.size());
    for (const wire::server_work& one : said) {
        placement::work_size work{
            one.requests, one.tokens, one.unread_tokens, one.arriving_tokens};
        if (has_valid_gaps(one))
            work.gaps = {one.paced_streams, one.gap_ms};
        else
            ++heard.refused_gaps;
        heard.work.push_back({placement::server_id(one.server), work});
    }
    return heard;
}

} // namespace godwit::entry
