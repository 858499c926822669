#include "checkpoint_chunk.hpp"

#include <godwit/catalogue/checkpoint_assembler.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace {

constexpr std::size_t maximum_partials = 2;

// Looked for before parsing, because every record of the log passes here.
constexpr std::string_view record_prefix = R"({"record":"checkpoint")";

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
    found.records.insert_or_assign(chunk->index, taken.data);
    if (found.records.size() < found.count)
        return std::nullopt;
    checkpoint complete{
        found.state_offset, found.hash, taken.offset, taken.time_ms, {}};
    for (auto& [index, data] : found.records)
        complete.records.push_back(std::move(data));
    partials_.pop_back(); // find_or_add put it last.
    return complete;
}

std::set<std::uint32_t>
checkpoint_assembler::seen(std::uint64_t state_offset, std::uint64_t hash) const
{
    std::set<std::uint32_t> indexes;
    for (const partial& each : partials_) {
        if (each.state_offset != state_offset || each.hash != hash)
            continue;
        for (const auto& [index, data] : each.records)
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
