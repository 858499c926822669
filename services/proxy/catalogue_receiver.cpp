#include "catalogue_receiver.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/fold.hpp>
#include <godwit/wire/protocol.hpp>

#include <utility>

namespace godwit::proxy {

namespace {

tl::unexpected<core::error> refuse(const std::string& what)
{
    return core::fail(
        core::error_kind::protocol,
        "the agent's catalogue " + what,
        "it is sent again; if this repeats, restart the agent of this host");
}

} // namespace

void catalogue_receiver::forget_parts()
{
    parts_.clear();
}

bool catalogue_receiver::continues(const wire::catalogue_snapshot& part) const
{
    return part.chunk_index == parts_.size() &&
           part.chunk_index < part.chunk_count &&
           part.chunk_count <= wire::snapshot_chunk_limit &&
           (parts_.empty() || part.next_offset == snapshot_offset_);
}

core::result<std::optional<catalogue::state_pointer>>
catalogue_receiver::take(const wire::catalogue_snapshot& part)
{
    if (part.chunk_index == 0)
        parts_.clear();
    if (!continues(part)) {
        parts_.clear();
        return refuse("has a part out of order");
    }
    snapshot_offset_ = part.next_offset;
    parts_.push_back(part.content);
    if (parts_.size() < part.chunk_count)
        return std::optional<catalogue::state_pointer>();
    auto whole = catalogue::read_checkpoint(std::exchange(parts_, {}));
    if (!whole)
        return tl::unexpected(whole.error());
    if ((*whole)->next_offset() != part.next_offset ||
        (*whole)->hash() != part.hash)
        return refuse("does not have the hash that it should have");
    current_ = *std::move(whole);
    return std::optional(current_);
}

core::result<std::optional<catalogue::state_pointer>>
catalogue_receiver::take(const wire::catalogue_change& change)
{
    if (!current_ || current_->next_offset() != change.offset)
        return std::optional<catalogue::state_pointer>();
    auto folded = catalogue::fold(
        current_, {change.offset, change.time_ms, change.record});
    if (change.hash != 0 && folded.next->hash() != change.hash)
        return refuse("came to another hash after a change");
    current_ = std::move(folded.next);
    return std::optional(current_);
}

} // namespace godwit::proxy
