#include "snapshot_messages.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>

#include <utility>

namespace godwit::agent {

std::vector<wire::catalogue_snapshot> snapshot_messages(
    const catalogue::state& content,
    const catalogue::checkpoint_info& newest_checkpoint)
{
    auto records = catalogue::write_checkpoint(content);
    std::vector<wire::catalogue_snapshot> messages;
    messages.reserve(records.size());
    for (std::string& record : records) {
        messages.push_back(
            {.next_offset = content.next_offset(),
             .hash = content.hash(),
             .chunk_index = static_cast<std::uint32_t>(messages.size()),
             .chunk_count = static_cast<std::uint32_t>(records.size()),
             .content = std::move(record),
             .checkpoint_offset = newest_checkpoint.state_offset,
             .checkpoint_time_ms = newest_checkpoint.time_ms});
    }
    return messages;
}

} // namespace godwit::agent
