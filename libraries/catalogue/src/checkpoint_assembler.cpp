#include "checkpoint_chunk.hpp"
#include "checkpoint_item.hpp"

#include <godwit/catalogue/checkpoint_assembler.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace {

constexpr std::size_t maximum_partials = 2;

// Looked for before parsing, because every record of the log passes here.
constexpr std::string_view record_prefix = R"({"record":"checkpoint")";

state_pointer rebuild(
    const std::map<std::uint32_t, boost::json::array>& chunks,
    std::uint64_t state_offset,
    std::uint64_t hash)
{
    state_builder builder;
    for (const auto& [index, items] : chunks) {
        for (const boost::json::value& item : items) {
            if (!decode_item(item, builder))
                return nullptr;
        }
    }
    builder.advance_to(state_offset);
    if (builder.current().hash() != hash)
        return nullptr;
    return builder.build();
}

} // namespace

bool checkpoint_assembler::is_chunk(const record& taken)
{
    return std::string_view(taken.data).substr(0, record_prefix.size()) ==
           record_prefix;
}

std::optional<checkpoint> checkpoint_assembler::offer(const record& taken)
{
    if (!is_chunk(taken))
        return std::nullopt;
    auto chunk = parse_chunk(taken.data);
    // A checkpoint holds records before its own.
    if (!chunk || chunk->state_offset > taken.offset)
        return std::nullopt;
    partial& found =
        find_or_add(chunk->state_offset, chunk->hash, chunk->count);
    found.chunks.insert_or_assign(chunk->index, std::move(chunk->items));
    found.last_record = taken.offset;
    if (found.chunks.size() < found.count)
        return std::nullopt;
    const partial complete = std::move(found);
    partials_.pop_back(); // find_or_add put it last.
    auto content =
        rebuild(complete.chunks, complete.state_offset, complete.hash);
    if (!content)
        return std::nullopt;
    return checkpoint{std::move(content), taken.offset, taken.time_ms};
}

std::set<std::uint32_t>
checkpoint_assembler::seen(std::uint64_t state_offset, std::uint64_t hash) const
{
    std::set<std::uint32_t> indexes;
    for (const partial& each : partials_) {
        if (each.state_offset != state_offset || each.hash != hash)
            continue;
        for (const auto& [index, items] : each.chunks)
            indexes.insert(index);
    }
    return indexes;
}

checkpoint_assembler::partial& checkpoint_assembler::find_or_add(
    std::uint64_t state_offset, std::uint64_t hash, std::uint32_t count)
{
    const auto found = std::find_if(
        partials_.begin(), partials_.end(), [&](const partial& each) {
            return each.state_offset == state_offset && each.hash == hash &&
                   each.count == count;
        });
    if (found != partials_.end()) {
        std::rotate(found, found + 1, partials_.end());
        return partials_.back();
    }
    if (partials_.size() == maximum_partials)
        partials_.erase(partials_.begin());
    partial added;
    added.state_offset = state_offset;
    added.hash = hash;
    added.count = count;
    partials_.push_back(std::move(added));
    return partials_.back();
}

} // namespace godwit::catalogue
