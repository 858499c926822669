#include "checkpoint_chunk.hpp"
#include "checkpoint_item.hpp"

#include <godwit/catalogue/checkpoint_assembler.hpp>
#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/limits.hpp>

#include <boost/json/serialize.hpp>

namespace godwit::catalogue {

namespace json = boost::json;

namespace {

// Leaves room for the chunk's own members.
constexpr std::size_t maximum_items_bytes = maximum_record_bytes - 1024;

std::vector<json::array> pack(const std::vector<json::object>& items)
{
    std::vector<json::array> packs(1);
    std::size_t bytes = 0;
    for (const json::object& item : items) {
        const std::size_t size = json::serialize(item).size() + 1;
        if (bytes + size > maximum_items_bytes) {
            packs.emplace_back();
            bytes = 0;
        }
        bytes += size;
        packs.back().emplace_back(item);
    }
    return packs;
}

} // namespace

std::vector<std::string> write_checkpoint(const state& content)
{
    auto packs = pack(encode_items(content));
    std::vector<std::string> records;
    checkpoint_chunk chunk;
    chunk.state_offset = content.next_offset();
    chunk.hash = content.hash();
    chunk.count = static_cast<std::uint32_t>(packs.size());
    for (json::array& items : packs) {
        chunk.items = std::move(items);
        records.push_back(serialise_chunk(chunk));
        ++chunk.index;
    }
    return records;
}

core::result<state_pointer> restore(const checkpoint& source)
{
    state_builder builder;
    for (const std::string& data : source.records) {
        const auto chunk = GODWIT_TRY(parse_chunk(data));
        for (const json::value& item : chunk.items) {
            if (auto decoded = decode_item(item, builder); !decoded)
                return tl::unexpected(std::move(decoded).error());
        }
    }
    builder.advance_to(source.state_offset);
    if (builder.current().hash() == source.hash)
        return builder.build();
    return core::fail(
        core::error_kind::protocol,
        "the checkpoint's content does not have the hash that it gives",
        "use another checkpoint, and compare the releases of the hosts");
}

core::result<state_pointer>
read_checkpoint(const std::vector<std::string>& records)
{
    checkpoint_assembler assembler;
    for (const std::string& data : records) {
        // A peer's checkpoint is not part of the log, so any offset will do.
        constexpr std::uint64_t outside_log = UINT64_MAX;
        if (const auto found = assembler.offer({outside_log, 0, data}))
            return restore(*found);
    }
    return core::fail(
        core::error_kind::protocol,
        "the checkpoint's " + std::to_string(records.size()) +
            " records are incomplete or damaged",
        "ask another peer for it");
}

} // namespace godwit::catalogue
