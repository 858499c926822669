#include "catalogue_history.hpp"

namespace godwit::agent {

void catalogue_history::add(
    const std::vector<catalogue::record>& records,
    std::uint64_t before,
    const catalogue::state& content)
{
    for (const catalogue::record& record : records) {
        if (record.offset < before || record.offset >= content.next_offset())
            continue;
        const bool is_last = record.offset + 1 == content.next_offset();
        window_.push(record, is_last ? content.hash() : hash_not_known);
    }
}

std::optional<std::vector<wire::catalogue_change>>
catalogue_history::between(std::uint64_t from, std::uint64_t to) const
{
    std::vector<wire::catalogue_change> changes;
    std::uint64_t next = from;
    while (next < to) {
        const auto records = window_.read(next);
        if (records.empty())
            return std::nullopt;
        for (const catalogue::record& record : records) {
            if (record.offset >= to)
                break;
            changes.push_back(
                {.offset = record.offset,
                 .time_ms = record.time_ms,
                 .hash = window_.hash_at(record.offset + 1).value_or(0),
                 .record = record.data});
        }
        next = records.back().offset + 1;
    }
    return changes;
}

} // namespace godwit::agent
