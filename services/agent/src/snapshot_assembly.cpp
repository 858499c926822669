#include "snapshot_assembly.hpp"

#include <godwit/wire/protocol.hpp>

#include <utility>

namespace godwit::agent {

core::result<std::optional<std::vector<std::string>>>
snapshot_assembly::take(wire::catalogue_snapshot part)
{
    if (part.chunk_index == 0) {
        contents_.clear();
        head_ = part;
        head_.content.clear();
    }
    const bool is_next = part.chunk_index == contents_.size() &&
                         part.next_offset == head_.next_offset &&
                         part.hash == head_.hash &&
                         part.chunk_count == head_.chunk_count &&
                         part.chunk_index < part.chunk_count &&
                         part.chunk_count <= wire::snapshot_chunk_limit;
    if (!is_next) {
        contents_.clear();
        head_ = {};
        return core::fail(
            core::error_kind::protocol,
            "a part of a snapshot is not the next one",
            "none is needed; the snapshot is asked for again");
    }
    contents_.push_back(std::move(part.content));
    if (contents_.size() < head_.chunk_count)
        return std::nullopt;
    return std::exchange(contents_, {});
}

} // namespace godwit::agent
