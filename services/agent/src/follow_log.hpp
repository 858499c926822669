#pragma once

#include <godwit/core/result.hpp>
#include <godwit/platform/log_client.hpp>

#include <string>
#include <utility>

namespace godwit::agent {

/// A decision library's order to read its stream.
template<class Action>
concept log_read = requires(const Action& action)
{
    action.read;
    action.from;
    action.limit;
    action.wait;
};

/// The page that came of `asked`, as the event `RecordsRead` of a decision
/// library.
template<class RecordsRead>
[[nodiscard]] RecordsRead
to_records_read(const log_read auto& asked, platform::log_page page)
{
    using record_type = typename decltype(RecordsRead::records)::value_type;
    using time_type = decltype(record_type::time);
    RecordsRead event{
        .read = asked.read,
        .first = page.first,
        .next = page.next,
        .records = {}};
    event.records.reserve(page.records.size());
    for (platform::log_record& record : page.records)
        event.records.push_back(
            {record.offset, time_type(record.time_ms), std::move(record.data)});
    return event;
}

/// Reads `stream` as `asked`; `handle` then takes `RecordsRead`, or
/// `ReadFailed` if the log gave no page.
template<class RecordsRead, class ReadFailed, class Handler>
void follow_log(
    platform::log_client& client,
    const std::string& stream,
    const log_read auto& asked,
    Handler handle)
{
    client.read(
        {.stream = stream,
         .from = asked.from,
         .limit = asked.limit,
         .wait = asked.wait},
        [handle = std::move(handle),
         asked](core::result<platform::log_page> page) {
            if (page)
                handle(to_records_read<RecordsRead>(asked, std::move(*page)));
            else
                handle(ReadFailed{asked.read});
        });
}

} // namespace godwit::agent
